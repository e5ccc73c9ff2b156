/// Calls HTTP services over libcurl's multi handle, driven by the reactor.
/// Says of each failed call whether any byte of it was sent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// One call to make.
struct HttpCall
{
  std::string mMethod = "GET";
  std::string mUrl;
  HttpHeaders mHeaders;
  std::string mBody;
  Duration mConnectTimeout = 1s;
  Duration mTotalTimeout = 30s;
  /// Uses a fresh connection and never lets the library send it a second
  /// time: a reused connection that turns out dead is otherwise retried.
  bool mSendOnce = false;
  /// Authority that https servers' certificates are checked against, as PEM;
  /// empty: those that the system trusts.
  std::string mAuthorityPem;
};

/// Why a call did not end with a whole answer.
enum class CallFailure
{
  None,         ///< Whole answer received; see the status.
  NotConnected, ///< No connection; nothing was sent.
  Withheld,     ///< OnBeforeSend() said no; nothing was sent.
  TimedOut,
  Broken, ///< Closed or reset before the answer was whole.
  Cancelled
};

const char*
ToName(CallFailure aFailure);

/// How a call ended.
struct HttpCallOutcome
{
  CallFailure mFailure = CallFailure::None;
  bool mMayHaveBeenSent = false; ///< True from the first byte sent on.
  int mStatus = 0;               ///< 0: no status line came.
  std::string mReason;           ///< The library's text, for logs.
};

/// Told how a call goes. Every method runs on the reactor's thread.
class HttpCallListener
{
public:
  virtual ~HttpCallListener() = default;

  /// The connection stands and nothing has been sent. Returning false
  /// withholds the call: the last check before bytes leave.
  virtual bool OnBeforeSend() { return true; }

  /// The answer's head came.
  virtual void OnHead(int /*aStatus*/, const HttpHeaders& /*aHeaders*/) {}

  /// A part of the answer's body came.
  virtual void OnData(std::string_view aData) = 0;

  /// The call is over; no further method is called. Called exactly once,
  /// unless the client itself goes first.
  virtual void OnEnd(const HttpCallOutcome& aOutcome) = 0;
};

/// Makes calls on the reactor's thread.
class HttpClient
{
public:
  using CallId = std::uint64_t; ///< 0 is never given out.

  static std::unique_ptr<HttpClient> Create(Reactor& aReactor);
  ~HttpClient();

  /// Starts a call. The listener is kept alive until its OnEnd() returned;
  /// OnEnd() is never called from within Start().
  CallId Start(HttpCall aCall, std::shared_ptr<HttpCallListener> aListener);

  /// Ends a call; its listener hears OnEnd(Cancelled) from a later event.
  void Cancel(CallId aCall);

  /// Stops and restarts reading a call's answer (backpressure).
  void Pause(CallId aCall);
  void Resume(CallId aCall);

  /// Starts a call and hands over its whole answer. One over 64 MiB ends as
  /// broken.
  using WholeAnswer =
    std::function<void(const HttpCallOutcome& aOutcome, std::string aBody)>;
  CallId Fetch(HttpCall aCall, WholeAnswer aDone);

private:
  struct Impl;
  explicit HttpClient(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
