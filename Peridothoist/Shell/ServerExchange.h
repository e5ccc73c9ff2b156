/// One request and its response on a libmicrohttpd connection. The connection
/// is suspended while there is nothing to send.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// Functions of the server that its exchanges call.
class ServerExchangeDelegate
{
public:
  virtual ~ServerExchangeDelegate() = default;

  /// Schedules a run of libmicrohttpd, which has work after a connection was
  /// resumed.
  virtual void ScheduleRun() = 0;

  /// Called when the bytes of responses that an exchange holds have changed.
  virtual void OnBufferedBytesChanged(std::ptrdiff_t aDelta) = 0;

  /// Returns whether all exchanges together hold more bytes than they may.
  virtual bool HoldsTooMuch() const = 0;

  /// Returns whether responses must carry "Connection: close".
  virtual bool ShouldCloseConnections() const = 0;
};

/// The server's implementation of an exchange.
class ServerExchange
  : public HttpExchange
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(ServerExchangeDelegate& aDelegate,
                 MHD_Connection* aConnection,
                 int aDescriptor,
                 const HttpServerSettings& aSettings);
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  /// Called for an HTTP/1.0 caller. There, closing the connection marks the end
  /// of a stream, so an aborted stream must reset the connection instead.
  void SetStreamsEndWithClose() { mStreamsEndWithClose = true; }

  /// Returns the request for modification while it is being received.
  HttpRequest& MutableRequest() { return mRequest; }

  /// Returns the reference that the handler gets. When its last copy is
  /// released before the response was started, the server responds with status
  /// 500; a stream that was started but not ended is aborted.
  std::shared_ptr<HttpExchange> MakeHandlerReference();

  /// Queues the response on the connection, or suspends the connection until
  /// there is a response.
  MHD_Result QueueOrSuspend();

  /// Called when the caller has closed its side of the connection.
  void OnHangUp();

  /// Returns whether the caller still waits for a response, or the rest of one,
  /// that the handler has not aborted.
  bool AwaitsDelivery() const
  {
    return !mIsCallerDisconnected && mResponseState != ResponseState::Aborted;
  }

  /// Called when libmicrohttpd has finished the request. The connection must
  /// not be used afterwards.
  void OnCompleted();

  /// Called before the server is destroyed. Removes the listener and resumes a
  /// suspended connection so that it can end.
  void Detach();

  /// Sends a JSON error response whose headers say that the request has not
  /// been executed.
  void RespondWithError(int aStatus,
                        const char* aType,
                        const std::string& aMessage);
  /// The same; closes the connection after it.
  void RespondWithErrorAndClose(int aStatus,
                                const char* aType,
                                const std::string& aMessage);

  // See: HttpExchange
  const HttpRequest& Request() const override { return mRequest; }
  void SetListener(HttpExchangeListener* aListener) override;
  void Respond(int aStatus,
               const HttpHeaders& aHeaders,
               std::string aBody) override;
  void StartStream(int aStatus, const HttpHeaders& aHeaders) override;
  bool Write(std::string_view aData) override;
  void EndStream() override;
  void AbortStream() override;

private:
  /// State of the response.
  enum class ResponseState
  {
    Pending,   ///< The handler has not started it.
    Streaming, ///< StartStream() was called.
    Ended,     ///< The handler has provided all of it.
    Aborted    ///< AbortStream() was called.
  };

  static ssize_t ReadCallback(void* aSelf,
                              std::uint64_t aPosition,
                              char* aBuffer,
                              std::size_t aSize);
  ssize_t ReadStream(char* aBuffer, std::size_t aSize);
  void DiscardSentBytes();
  void ResetConnection() const;
  void AddHeaders(const HttpHeaders& aHeaders);
  void ResumeConnection();
  void OnReleasedByHandler();
  void NotifyCallerDisconnected();
  std::size_t BufferedBytes() const { return mBuffer.size() - mBufferStart; }
  void CountBufferedBytes(std::size_t aBytes);

  ServerExchangeDelegate& mDelegate;
  const HttpServerSettings& mSettings;
  MHD_Connection* mConnection; ///< Null after OnCompleted().
  int mDescriptor;             ///< The connection's socket.
  HttpRequest mRequest;
  HttpExchangeListener* mListener = nullptr;

  // The response.
  ResponseState mResponseState = ResponseState::Pending;
  MHD_Response* mResponse = nullptr; ///< Null before it exists and once queued.
  int mStatus = 0;
  bool mIsSuspended = false;          ///< True only while mConnection is set.
  bool mIsCallerDisconnected = false; ///< Or the server is being destroyed.
  bool mStreamsEndWithClose = false;

  // Stream data that has not been sent. mBufferStart is the offset of its
  // first byte in mBuffer.
  std::string mBuffer;
  std::size_t mBufferStart = 0;
  bool mIsAboveHighMark = false; ///< Write() has returned false.
  std::size_t mCountedBytes = 0; ///< As last told to mDelegate.
};

} // namespace peridothoist::detail
