/// Serves HTTP over libmicrohttpd, driven by the reactor through the server's
/// epoll descriptor. Used by the entry for callers, by control for operators
/// and by the stand-ins.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Header names are lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// One whole request as received.
struct HttpRequest
{
  std::string mMethod;
  std::string mPath;   ///< Without the query, percent-decoded.
  std::string mTarget; ///< Path and query as they were sent.
  std::map<std::string, std::string> mQuery;
  HttpHeaders mHeaders;
  std::string mBody;
  std::string mPeerAddress; ///< IP number of the caller.
};

/// Told what becomes of an exchange after the request was handed over.
class HttpExchangeListener
{
public:
  virtual ~HttpExchangeListener() = default;

  /// The caller closed its connection before the answer was whole. The
  /// exchange may be dropped; later calls on it do nothing. Not called any
  /// more once Respond(), EndStream() or AbortStream() was called.
  virtual void OnCallerGone() = 0;

  /// The buffered part of a stream fell below the low mark after having been
  /// above the high mark.
  virtual void OnDrained() {}
};

/// One request and its answer. Every method runs on the reactor's thread; a
/// call that comes after the end of the answer does nothing.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Sets who is told about the caller; null for nobody. Not owned.
  virtual void SetListener(HttpExchangeListener* aListener) = 0;

  /// Answers whole, once.
  virtual void Respond(int aStatus,
                       const HttpHeaders& aHeaders,
                       std::string aBody) = 0;

  /// Starts a chunked answer.
  virtual void StartStream(int aStatus, const HttpHeaders& aHeaders) = 0;

  /// Appends to a started stream. Returns false when the buffer is above the
  /// high mark: the producer should pause until OnDrained().
  virtual bool Write(std::string_view aData) = 0;

  /// Ends a started stream as complete.
  virtual void EndStream() = 0;

  /// Breaks a started stream, so that it can't be taken for a complete one.
  /// Before StartStream() it closes the connection without an answer.
  virtual void AbortStream() = 0;
};

/// Takes requests from a server.
class HttpRequestHandler
{
public:
  virtual ~HttpRequestHandler() = default;

  /// A whole request came in. The handler keeps aExchange until it answered;
  /// when the last reference goes before that, the caller gets an error.
  virtual void OnRequest(std::shared_ptr<HttpExchange> aExchange) = 0;
};

/// Limits and addresses of an HTTP server.
struct HttpServerSettings
{
  std::string mAddress = "127.0.0.1";        ///< IP number to listen on.
  std::uint16_t mPort = 0;                   ///< 0: any free port.
  std::uint32_t mMaxHeaderBytes = 16 * 1024; ///< 431 above.
  std::uint32_t mMaxBodyBytes = 1024 * 1024; ///< 413 above.
  std::uint32_t mMaxConnections = 16384;     ///< Over all callers.
  std::uint32_t mMaxConnectionsPerAddress = 8192;
  Duration mIdleTimeout = 30s;    ///< A connection without progress.
  Duration mRequestTimeout = 10s; ///< From first byte to whole request.
  std::uint32_t mStreamHighMark =
    64 * 1024; ///< Bytes buffered: Write says pause.
  std::uint32_t mStreamLowMark = 16 * 1024; ///< Bytes buffered: OnDrained.
  std::string mCertificatePem;              ///< With mPrivateKeyPem: serve TLS.
  std::string mPrivateKeyPem;
};

/// An HTTP server on the reactor's thread.
class HttpServer
{
public:
  using Settings = HttpServerSettings;

  /// Starts to listen; null with aReason when the address can't be had.
  static std::unique_ptr<HttpServer> Create(Reactor& aReactor,
                                            const Settings& aSettings,
                                            HttpRequestHandler* aHandler,
                                            std::string* aReason);
  ~HttpServer();

  /// The port that it listens on.
  std::uint16_t Port() const;

  /// Answers carry "Connection: close" from now on; connections are accepted
  /// and served as before.
  void CloseAfterAnswers();

  /// Stops to accept connections and closes idle ones; running exchanges go
  /// on, and their answers carry "Connection: close".
  void StartDrain();

  /// Exchanges not yet answered whole.
  std::size_t OpenExchanges() const;

private:
  struct Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
