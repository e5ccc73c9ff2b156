/// An HTTP client on libcurl's multi handle, driven by the reactor. Reports for
/// each failed call whether any byte of the request may have been sent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Maximum size of a response body, unless a call states another one.
constexpr std::size_t kDefaultMaxResponseBytes = 16 * 1024 * 1024;

/// Request and options of one call.
struct HttpCall
{
  /// Returns the body that is sent.
  std::string_view Body() const
  {
    return mBorrowedBody.empty() ? std::string_view(mBody) : mBorrowedBody;
  }

  std::string mMethod = "GET";
  std::string mUrl;
  HttpHeaders mHeaders;
  std::string mBody;
  /// Sent in place of mBody unless it is empty. Must stay valid until the
  /// listener is released.
  std::string_view mBorrowedBody;
  /// The call ends as Broken once the body of the response is larger; 0: no
  /// limit, for bodies that are passed on as they come.
  std::size_t mMaxResponseBytes = kDefaultMaxResponseBytes;
  Duration mConnectTimeout = 1s;
  Duration mTotalTimeout = 30s;
  /// For Fetch(): the call ends as TimedOut when no byte of the response has
  /// arrived for this long. 0: only mTotalTimeout counts.
  Duration mStallTimeout{ 0 };
  /// Uses a new connection, so that libcurl never sends the request twice.
  /// libcurl otherwise retries when a reused connection turns out to be closed.
  bool mSendOnce = false;
  /// Address, "ip:port", of a VM through which the call is made, by an HTTP
  /// CONNECT tunnel; empty: none. A response that ends with its connection is
  /// complete if the connection ends in order: tunnels are reset in all other
  /// cases.
  std::string mTunnel;
  /// CA certificate for verifying https servers, as PEM. When empty, the
  /// system's trusted CAs are used.
  std::string mCaCertificatePem;
};

/// Why a call ended without a complete response.
enum class CallFailure
{
  None,         ///< The response is complete; see the status.
  NotConnected, ///< No connection was established; nothing was sent.
  Withheld,     ///< OnBeforeSend() returned false; nothing was sent.
  TimedOut,     ///< Timed out after bytes may have been sent.
  Broken,       ///< The connection broke before the response was complete, or
                ///< the response is malformed or too large.
  Cancelled     ///< HttpClient::Cancel() was called.
};

/// Returns the name of a failure for logs and metrics.
const char*
ToName(CallFailure aFailure);

/// The result of a call.
struct HttpCallResult
{
  CallFailure mFailure = CallFailure::None;
  bool mMayHaveBeenSent = false; ///< Some request bytes may have been sent.
  int mStatus = 0;               ///< 0 when no valid head was received.
  /// With mTunnel and NotConnected: the status with which the tunnel was
  /// refused; 0: it did not respond.
  int mTunnelStatus = 0;
  std::string mReason;  ///< Error text for logs.
  HttpHeaders mHeaders; ///< Of the response; set for Fetch() only.
};

/// Receives the events of a call, on the reactor's thread.
class HttpCallListener
{
public:
  virtual ~HttpCallListener() = default;

  /// Called when the connection is established and nothing has been sent: the
  /// last check before sending. Returning false ends the call as Withheld.
  virtual bool OnBeforeSend() { return true; }

  /// Called when the status and headers of the response have been received.
  virtual void OnHead(int /*aStatus*/, const HttpHeaders& /*aHeaders*/) {}

  /// Called for each received part of the response body.
  virtual void OnData(std::string_view aData) = 0;

  /// Called exactly once when the call has ended, after every other method.
  /// Not called when the client is destroyed first.
  virtual void OnEnd(const HttpCallResult& aResult) = 0;
};

/// An HTTP client. All its work runs on the reactor's thread.
class HttpClient
{
public:
  using CallId = std::uint64_t; ///< 0 is never a valid id.

  /// Creates a client. aLocalIp: address that calls are made from; empty: the
  /// system's choice. Returns null when the system is out of resources.
  static std::unique_ptr<HttpClient> Create(Reactor& aReactor,
                                            const std::string& aLocalIp = "");
  ~HttpClient();

  /// Sets what response bodies are drawn from, by Fetch() and by listeners that
  /// collect them; null: no bound.
  void SetMemory(std::shared_ptr<MemoryBudget> aMemory);
  const std::shared_ptr<MemoryBudget>& Memory() const;

  /// Returns how many responses were malformed, by the reason.
  const std::map<std::string, std::uint64_t>& MalformedResponses() const;

  /// Starts a call. The client keeps the listener alive until OnEnd() returns.
  /// OnEnd() is never called from within Start().
  CallId Start(HttpCall aCall, std::shared_ptr<HttpCallListener> aListener);

  /// Cancels a call. OnEnd() with CallFailure::Cancelled follows in a later
  /// event.
  void Cancel(CallId aCall);

  /// Stops reading the response of a call, for backpressure.
  void Pause(CallId aCall);
  /// Continues reading the response of a paused call.
  void Resume(CallId aCall);

  /// Receives the result and the response body of Fetch().
  using FetchCallback =
    std::function<void(const HttpCallResult& aResult, std::string aBody)>;
  /// Starts a call and collects its response body, which is drawn from the
  /// memory budget. Without room for it, the call ends as CallFailure::Broken.
  CallId Fetch(HttpCall aCall, FetchCallback aCallback);

private:
  struct Impl;
  explicit HttpClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
