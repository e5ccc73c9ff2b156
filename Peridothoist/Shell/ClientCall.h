/// One call of the HTTP client on a libcurl easy handle: its options, callbacks
/// and state.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/KeptConnections.h>
#include <Peridothoist/Shell/ResponseParser.h>

#include <curl/curl.h>

namespace peridothoist::detail {

/// Functions of the client that its calls use.
class ClientCallDelegate
{
public:
  virtual ~ClientCallDelegate() = default;

  /// Returns whether the current turn of the event loop is over.
  virtual bool IsTurnOver() const = 0;

  /// Asks for ResumeTransfer() in a later turn.
  virtual void ResumeLater(HttpClient::CallId aCall) = 0;

  /// Returns the connections that calls may use again. They outlive the
  /// connections of libcurl.
  virtual KeptConnections& Connections() = 0;

  /// Called when a response is malformed.
  virtual void OnMalformed(const char* aReason) = 0;
};

/// One call in progress, which handles libcurl's callbacks. libcurl passes on
/// the bytes of a response as they came, chunks too, and ResponseParser decides
/// what they are: a response is whole if both say so. libcurl reads a transfer
/// for as long as bytes arrive, so a transfer is paused when the turn of the
/// event loop is over.
class ClientCall
{
public:
  /// Creates a call. Returns null when libcurl is out of memory.
  static std::unique_ptr<ClientCall> Create(
    HttpClient::CallId aId,
    HttpCall aCall,
    const std::string& aLocalIp,
    std::shared_ptr<HttpCallListener> aListener,
    ClientCallDelegate* aDelegate);
  ~ClientCall();
  ClientCall(const ClientCall&) = delete;
  ClientCall& operator=(const ClientCall&) = delete;

  /// Returns the call that an easy handle belongs to.
  static ClientCall& FromHandle(CURL* aHandle);

  /// Returns the result of the call, from the code with which libcurl ended it.
  HttpCallResult MakeResult(CURLcode aResult) const;

  HttpClient::CallId Id() const { return mId; }
  CURL* Handle() const { return mHandle; }
  const std::shared_ptr<HttpCallListener>& Listener() const
  {
    return mListener;
  }

  /// Prevents further callbacks to the listener. The next callback from libcurl
  /// ends the call.
  void MarkCancelled() { mIsCancelled = true; }

  // Backpressure. A pause takes effect when the next data arrives.
  void MarkPaused() { mIsPauseRequested = true; }
  void MarkResumed() { mIsPauseRequested = false; }
  /// Returns whether the call has ended before anything was sent, since the
  /// kept connection that it was to use is not clean. It goes on with
  /// UseNewConnection() and another transfer.
  bool NeedsNewConnection() const { return mNeedsNewConnection; }
  void UseNewConnection();

  /// Makes libcurl deliver data again, unless a pause is requested or no pause
  /// has taken effect. Must not be called inside a libcurl callback.
  void ResumeTransfer();

private:
  ClientCall(HttpClient::CallId aId,
             HttpCall aCall,
             std::shared_ptr<HttpCallListener> aListener,
             ClientCallDelegate* aDelegate,
             CURL* aHandle);

  void SetOptions(const std::string& aLocalIp);
  void SetMethod();
  void SetHeaders();
  std::size_t OnHeaderLine(std::string_view aLine);
  bool TakeData(std::string_view aData);
  bool IsClean(const ConnectionEnds& aEnds);

  static int OnSocketCreated(void* aSelf,
                             curl_socket_t aSocket,
                             curlsocktype aPurpose);
  static int OnSocketClosed(void* aConnections, curl_socket_t aSocket);
  static int OnBeforeSend(void* aSelf,
                          char* aRemoteAddress,
                          char* aLocalAddress,
                          int aRemotePort,
                          int aLocalPort);
  static std::size_t OnHeader(char* aData,
                              std::size_t aSize,
                              std::size_t aCount,
                              void* aSelf);
  static std::size_t OnData(char* aData,
                            std::size_t aSize,
                            std::size_t aCount,
                            void* aSelf);
  static int OnProgress(void* aSelf,
                        curl_off_t aDownTotal,
                        curl_off_t aDownNow,
                        curl_off_t aUpTotal,
                        curl_off_t aUpNow);
  void PauseUntilLater();

  HttpClient::CallId mId;
  HttpCall mCall; ///< libcurl reads the body from here.
  std::shared_ptr<HttpCallListener> mListener;
  ClientCallDelegate* mDelegate;
  CURL* mHandle;
  curl_slist* mHeaderList = nullptr;

  /// Ends the call, since the response exceeds a limit or is malformed. aLine:
  /// of the head, at which that shows; empty: in the body.
  std::size_t RejectResponse(std::string aReason);
  std::size_t RejectMalformed(const char* aReason, std::string_view aLine);

  // The response so far.
  ResponseParser mTunnelResponse; ///< To CONNECT, if there is a tunnel.
  ResponseParser mResponse;
  std::size_t mBodyBytes = 0;
  std::string mRejection; ///< Why the response was given up; empty: it wasn't.

  // State of the call.
  int mNewSocket = -1; ///< Of the connection that was opened for it; -1: none.
  bool mMayHaveBeenSent = false;
  bool mIsWithheld = false;
  bool mNeedsNewConnection = false;
  bool mIsCancelled = false;
  bool mIsPauseRequested = false; ///< By HttpClient::Pause().
  bool mIsLibraryPaused = false;  ///< libcurl has paused the transfer.
};

} // namespace peridothoist::detail
