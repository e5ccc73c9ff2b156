/// One caller's connection: reads requests, passes each to the server when it
/// is complete, and sends its response before it reads the next one.
///
/// A connection is in one of four phases. It reads only while it is idle,
/// reading or closing, so a caller that sends further requests before it has
/// its response waits.
///
/// A connection ends only after a response that says so, or when it is idle. A
/// response that began before its server stops doesn't say it, so its caller
/// may send another request, which is answered. A response doesn't say it
/// either if another request has arrived by then, unless the caller asked for
/// the end.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/RequestParser.h>
#include <Peridothoist/Shell/ServerExchange.h>
#include <Peridothoist/Shell/ServerSocket.h>

namespace peridothoist::detail {

class ServerConnection;

/// Functions of the server that its connections call.
class ServerConnectionDelegate
{
public:
  virtual ~ServerConnectionDelegate() = default;

  /// Returns the time of the current event, which may concern no connection.
  virtual TimePoint Now() const = 0;

  /// Returns whether the current turn of the event loop is over.
  virtual bool IsTurnOver() const = 0;

  /// Called when a request is complete.
  virtual void OnRequest(std::shared_ptr<HttpExchange> aExchange) = 0;

  /// See: HttpRequestHandler
  virtual HttpResponse OnMemoryFull(const HttpRequest& aRequest) = 0;

  /// Called when the phase has changed from or to Responding.
  virtual void OnResponding(bool aIsResponding) = 0;

  /// Called when the number of unsent bytes has changed.
  virtual void OnUnsentBytesChanged(std::ptrdiff_t aDelta) = 0;

  /// Returns whether all connections together hold more bytes than they may.
  virtual bool HoldsTooMuch() const = 0;

  /// Returns whether each connection ends after its response.
  virtual bool ShouldCloseConnections() const = 0;

  /// Returns whether idle connections are closed at once.
  virtual bool IsDraining() const = 0;

  /// Called when the events that the connection waits for have changed.
  virtual void UpdateEvents(const ServerConnection& aConnection) = 0;

  /// Asks for a call of Continue() in a later iteration of the event loop.
  virtual void ContinueLater(const ServerConnection& aConnection) = 0;

  /// Called once, when the connection has ended; to be destroyed in a later
  /// iteration of the event loop.
  virtual void OnClosed(const ServerConnection& aConnection) = 0;
};

/// The phase of a connection.
enum class ConnectionPhase
{
  Idle,       ///< No byte of the next request has been received.
  Reading,    ///< A part of a request has been received.
  Responding, ///< The request is complete, the response isn't.
  Closing,    ///< All is sent; what still arrives is dropped.
  Closed
};

/// Why a connection ends.
enum class ConnectionEnd
{
  Completed,
  ConnectionError,
  Timeout,
  CallerGone
};

/// One caller's connection.
class ServerConnection : private ServerExchangeDelegate
{
public:
  ServerConnection(ServerConnectionDelegate& aDelegate,
                   const HttpServerSettings& aSettings,
                   std::uint64_t aId,
                   int aDescriptor,
                   SSL_CTX* aTls,
                   std::string aPeer,
                   TimePoint aNow);
  ~ServerConnection() override;
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  std::uint64_t Id() const { return mId; }
  int Descriptor() const { return mSocket.Descriptor(); }
  const std::string& Peer() const { return mPeer; }
  ConnectionPhase Phase() const { return mPhase; }

  /// Returns whether a request is coming in or open, its response is being
  /// read, or the next one may be on its way from a caller that has connected
  /// or read a response just now.
  bool IsBusy(TimePoint aNow) const;

  /// Returns the epoll events that the connection waits for.
  std::uint32_t WantedEvents() const;

  /// Called with epoll events.
  void OnEvents(std::uint32_t aEvents);

  /// Reads and handles what has arrived.
  void Continue(TimePoint aNow);

  /// Closes the connection if its caller exceeds a time limit, and, while the
  /// server drains, if it is idle and nothing has arrived.
  void CloseIfStale(TimePoint aNow);

  /// Detaches the exchange before the server is destroyed.
  void DetachExchange();

private:
  // See: ServerExchangeDelegate
  void Send(std::string_view aData) override;
  void SendAll(std::string aData) override;
  std::size_t UnsentBytes() const override
  {
    return mOutput.size() - mOutputStart;
  }
  bool HoldsTooMuch() const override { return mDelegate.HoldsTooMuch(); }
  bool HasFurtherRequest();
  bool ShouldClose() override;
  void CloseAfterResponse() override { mClosesAfterResponse = true; }
  void OnResponseEnded(bool aIsCloseStated) override;
  void OnResponseAborted(bool aIsEndHidden) override;

  void EnterPhase(ConnectionPhase aPhase);
  void ReadInput();
  bool LeavesTurn();
  void HandleInput();
  void StartResponse();
  void Reject(const HttpRequestError& aError);
  void RespondAndClose(const HttpResponse& aResponse);
  void Flush();
  void AfterFlush();
  void FinishResponse();
  void DropSentBytes();
  void SetOutputCount();
  void StartClosing();
  void CloseIdle(TimePoint aNow);
  void Close(ConnectionEnd aEnd);
  void LogCutResponse(ConnectionEnd aEnd) const;
  std::optional<ConnectionEnd> FindStaleness(TimePoint aNow) const;

  ServerConnectionDelegate& mDelegate;
  const HttpServerSettings& mSettings;
  const std::uint64_t mId;
  ServerSocket mSocket;
  const std::string mPeer;

  ConnectionPhase mPhase = ConnectionPhase::Idle;
  TimePoint mPhaseStartedAt;
  TimePoint mLastProgressAt;     ///< Bytes were received or sent.
  bool mHasCallerEnded = false;  ///< The caller sends nothing more.
  bool mIsHandlingInput = false; ///< HandleInput() is running.
  bool mClosesAfterResponse = false;
  bool mIsResponseEnded = false;
  /// Responses that didn't say that the connection ends, although the server
  /// stops, since another request had arrived.
  int mGoOnResponses = 0;
  bool mIsAborted = false;   ///< The connection ends after what is unsent.
  bool mIsEndHidden = false; ///< See ServerExchangeDelegate.

  RequestParser mParser;
  std::string mInput; ///< Received and not consumed by mParser.
  std::shared_ptr<ServerExchange> mExchange; ///< While responding.
  std::string mOutput;
  std::size_t mOutputStart = 0;  ///< Offset of the first unsent byte.
  std::size_t mCountedBytes = 0; ///< Unsent, as last told to mDelegate.
  std::size_t mDroppedBytes = 0; ///< While closing.
};

} // namespace peridothoist::detail
