/// An HTTP server for HTTP/1.1 and 1.0, with or without TLS. The reactor drives
/// it through an epoll descriptor. The entry serves callers with it and control
/// serves operators; the stand-ins of other services for tests use it as well.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/MemoryBudget.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// HTTP headers by name. Names are in lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// One completely received request.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;   ///< Percent-decoded, without the query.
  std::string mTarget; ///< Path and query as received, not decoded.
  std::map<std::string, std::string> mQuery; ///< Decoded query parameters.
  HttpHeaders mHeaders;
  std::string mBody;
  std::string mPeerAddress; ///< IP address of the caller.
};

/// A complete response.
struct HttpResponse
{
  int mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

/// Receives events of an exchange after the handler has got the request.
class HttpExchangeListener
{
public:
  virtual ~HttpExchangeListener() = default;

  /// Called when the caller closes its connection before the response is
  /// complete. The listener may release the exchange; later calls on it do
  /// nothing. Not called after Respond(), EndStream() or AbortStream().
  virtual void OnCallerDisconnected() = 0;

  /// Called when the buffered bytes of a stream fall below the low-water mark
  /// after they exceeded the high-water mark.
  virtual void OnBufferDrained() {}
};

/// One request and its response. Every method must be called on the reactor's
/// thread. Calls after the end of the response do nothing.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Sets the listener for events of this exchange, or removes it when null.
  /// The listener is not owned.
  virtual void SetListener(HttpExchangeListener* aListener) = 0;

  /// Sends a complete response. Only the first call has an effect.
  virtual void Respond(int aStatus,
                       const HttpHeaders& aHeaders,
                       std::string aBody) = 0;

  /// Starts a streamed response in chunked encoding.
  virtual void StartStream(int aStatus, const HttpHeaders& aHeaders) = 0;

  /// Appends data to a started stream. Returns false when the buffer is above
  /// the high-water mark; the producer should then pause until
  /// OnBufferDrained().
  virtual bool Write(std::string_view aData) = 0;

  /// Completes a started stream.
  virtual void EndStream() = 0;

  /// Aborts a started stream so that the caller can't mistake it for a
  /// complete one. Before StartStream(), closes the connection without a
  /// response.
  virtual void AbortStream() = 0;
};

/// Handles the requests that a server receives.
class HttpRequestHandler
{
public:
  virtual ~HttpRequestHandler() = default;

  /// Called when a request has been received completely. The handler keeps
  /// aExchange until it has responded. When the last reference is released
  /// before that, the server responds with status 500.
  virtual void OnRequest(std::shared_ptr<HttpExchange> aExchange) = 0;

  /// Called when there is no memory for the body of a request. aRequest has its
  /// method, target and headers. Returns the response, which has to say that
  /// the request has not been executed.
  virtual HttpResponse OnMemoryFull(const HttpRequest& aRequest);
};

/// Limits and addresses of an HTTP server.
struct HttpServerSettings
{
  std::string mAddress = "127.0.0.1";        ///< IP address to listen on.
  std::uint16_t mPort = 0;                   ///< 0 selects any free port.
  std::uint32_t mMaxHeaderBytes = 16 * 1024; ///< Responds 431 above this.
  std::uint32_t mMaxBodyBytes = 1024 * 1024; ///< Responds 413 above this.
  std::uint32_t mMaxConnections = 16384;     ///< Of all callers together.
  std::uint32_t mMaxConnectionsPerAddress = 8192;
  Duration mIdleTimeout = 30s;    ///< Closes a connection without progress.
  Duration mRequestTimeout = 10s; ///< Time to receive a whole request.
  /// Write() returns false once more bytes than this are buffered.
  std::uint32_t mStreamHighMark = 64 * 1024;
  /// While all exchanges together hold more unsent bytes than this, Write()
  /// returns false above mStreamLowMark; 0: no bound.
  std::size_t mMaxBufferedBytes = 0;
  /// After that, OnBufferDrained() is called when fewer bytes than this are
  /// buffered.
  std::uint32_t mStreamLowMark = 16 * 1024;
  /// What requests and unsent responses draw from; null: no bound.
  std::shared_ptr<MemoryBudget> mMemory;
  std::string mCertificatePem; ///< Serves TLS when set with mPrivateKeyPem.
  std::string mPrivateKeyPem;
};

/// An HTTP server. All its work runs on the reactor's thread.
class HttpServer
{
public:
  using Settings = HttpServerSettings;

  /// Starts to listen. Returns null and sets aReason when it can't listen on
  /// the address or when the TLS credentials are not usable.
  static std::unique_ptr<HttpServer> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            HttpRequestHandler* aHandler,
                                            std::string* aReason);
  ~HttpServer();

  /// Returns the port that the server listens on.
  std::uint16_t Port() const;

  /// Sends "Connection: close" with every further response. The server still
  /// accepts and serves connections.
  void CloseAfterResponses();

  /// Stops accepting connections and closes idle ones. Open exchanges continue,
  /// and their responses carry "Connection: close".
  void StartDrain();

  /// Returns the unsent bytes of all responses: those of streams, and whole
  /// responses until they are sent.
  std::size_t BufferedBytes() const;

  /// Returns the number of exchanges whose response is not complete.
  std::size_t OpenExchangeCount() const;

  /// Returns the number of connections on which a request is coming in or open,
  /// or whose caller may not yet have read its last response or may be sending
  /// the next request. After StartDrain(), all connections count: an idle one
  /// is read once more before it is closed.
  std::size_t BusyConnectionCount() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
