/// One request and its answer on a libmicrohttpd connection. The connection
/// is suspended while there is nothing to send, and resumed when there is.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// What an exchange needs of its server.
class ServerExchangeOwner
{
public:
  virtual ~ServerExchangeOwner() = default;

  /// A connection was resumed: libmicrohttpd has work to do soon.
  virtual void RunSoon() = 0;

  /// Answers carry "Connection: close" from now on.
  virtual bool Draining() const = 0;
};

/// The server's side of an exchange.
class ServerExchange
  : public HttpExchange
  , public std::enable_shared_from_this<ServerExchange>
{
public:
  ServerExchange(ServerExchangeOwner& aOwner,
                 MHD_Connection* aConnection,
                 int aDescriptor,
                 const HttpServerSettings& aSettings);
  ~ServerExchange() override;
  ServerExchange(const ServerExchange&) = delete;
  ServerExchange& operator=(const ServerExchange&) = delete;

  /// The caller speaks HTTP/1.0, where a stream's end is the close: one that
  /// breaks must be reset instead.
  void SetStreamsEndWithClose() { mStreamsEndWithClose = true; }

  /// The request, while it is being read.
  HttpRequest& MutableRequest() { return mRequest; }

  /// The reference that the handler gets. When its last copy goes before the
  /// answer was ended, the caller gets an error.
  std::shared_ptr<HttpExchange> ForHandler();

  /// Queues the answer on the connection, or suspends it until there is one.
  MHD_Result Continue();

  /// The caller closed its side of the connection.
  void OnHangUp();

  /// libmicrohttpd is done with the request; the connection is off limits.
  void OnCompleted();

  /// The server goes away: says nothing to the handler any more and lets a
  /// suspended connection go on to its end.
  void Abandon();

  /// Writes a whole answer with a JSON error that says the request hasn't
  /// run.
  void Refuse(int aStatus, const char* aType, const std::string& aMessage);

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
  /// How far the answer is.
  enum class Answer
  {
    Awaited,   ///< The handler has not begun.
    Streaming, ///< StartStream() was called.
    Ended,     ///< The handler gave all of it.
    Aborted    ///< The handler broke the stream.
  };

  static ssize_t Read(void* aSelf,
                      std::uint64_t aPosition,
                      char* aBuffer,
                      std::size_t aSize);
  ssize_t ReadSome(char* aBuffer, std::size_t aSize);
  void DropSentPart();
  void Reset() const;
  void AddHeaders(const HttpHeaders& aHeaders);
  void Wake();
  void OnDropped();
  void TellGone();
  std::size_t Buffered() const { return mBuffer.size() - mBufferStart; }

  ServerExchangeOwner& mOwner;
  const HttpServerSettings& mSettings;
  MHD_Connection* mConnection; ///< Null once completed or abandoned.
  int mDescriptor;             ///< The connection's socket.
  HttpRequest mRequest;
  HttpExchangeListener* mListener = nullptr;

  // The answer.
  Answer mAnswer = Answer::Awaited;
  MHD_Response* mResponse = nullptr; ///< Set until queued.
  int mStatus = 0;
  bool mSuspended = false; ///< Invariant: only while mConnection is set.
  bool mGone = false;      ///< The caller went away.
  bool mStreamsEndWithClose = false;

  // The part of a stream that waits to be sent.
  std::string mBuffer;
  std::size_t mBufferStart = 0;
  bool mAboveHighMark = false; ///< The producer was told to pause.
};

} // namespace peridothoist::detail
