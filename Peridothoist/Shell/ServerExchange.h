/// One request and its response on a caller's connection.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist::detail {

/// Functions of the connection that its exchange calls.
class ServerExchangeDelegate
{
public:
  virtual ~ServerExchangeDelegate() = default;

  /// Sends bytes of the response, or keeps them until they can be sent.
  virtual void Send(std::string_view aData) = 0;
  /// The same for bytes that are not copied.
  virtual void SendAll(std::string aData) = 0;

  /// Returns the number of bytes that are not sent yet.
  virtual std::size_t UnsentBytes() const = 0;

  /// Returns whether all connections together hold more bytes than they may.
  virtual bool HoldsTooMuch() const = 0;

  /// Returns whether the connection ends after a response that begins now.
  virtual bool ShouldClose() = 0;

  /// Called before the head of the response: the connection ends after it.
  virtual void CloseAfterResponse() = 0;

  /// Called when the response has been passed to Send() to its end.
  /// aIsCloseStated: its head says that the connection ends.
  virtual void OnResponseEnded(bool aIsCloseStated) = 0;

  /// Called when the response is to end incomplete, after what was passed to
  /// Send(). aIsEndHidden: the end of the connection would look like its end.
  virtual void OnResponseAborted(bool aIsEndHidden) = 0;
};

/// The server's implementation of an exchange.
class ServerExchange
  : public HttpExchange
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  /// What a response depends on besides the request.
  struct Protocol
  {
    bool mIsHttp10 = false;
    bool mIsHead = false; ///< The response has no body.
  };

  ServerExchange(ServerExchangeDelegate& aDelegate,
                 HttpRequest aRequest,
                 MemoryCharge aMemory,
                 const Protocol& aProtocol,
                 const HttpServerSettings& aSettings);
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  /// Returns the reference that the handler gets. When its last copy is
  /// released before the response was started, the server responds with status
  /// 500; a stream that was started but not ended is aborted.
  std::shared_ptr<HttpExchange> MakeHandlerReference();

  /// Called when unsent bytes have been sent.
  void OnSent();

  /// Returns whether the caller still waits for a response, or the rest of one,
  /// that the handler has not aborted.
  bool AwaitsDelivery() const
  {
    return mDelegate != nullptr && mState != State::Aborted;
  }

  /// Called when the response has been sent, or the connection has ended. Tells
  /// the listener if the response was not ended.
  void Detach();
  /// The same before the server is destroyed: the listener is not told.
  void DetachSilently();

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
  enum class State
  {
    Pending,   ///< The handler has not started it.
    Streaming, ///< StartStream() was called.
    Ended,     ///< The handler has provided all of it.
    Aborted    ///< AbortStream() was called.
  };

  std::string MakeHead(int aStatus,
                       const HttpHeaders& aHeaders,
                       std::optional<std::size_t> aLength);
  void OnReleasedByHandler();

  ServerExchangeDelegate* mDelegate; ///< Null after Detach().
  const HttpRequest mRequest;
  const MemoryCharge mMemory; ///< Of mRequest.
  const Protocol mProtocol;
  const HttpServerSettings& mSettings;
  HttpExchangeListener* mListener = nullptr;
  State mState = State::Pending;
  bool mIsCloseStated = false;   ///< By the head of the response.
  bool mSendsChunks = false;     ///< Of a stream.
  bool mSendsBody = true;        ///< Of a stream.
  bool mIsAboveHighMark = false; ///< Write() has returned false.
};

} // namespace peridothoist::detail
