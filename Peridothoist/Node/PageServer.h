/// Small pages on a listening address of their own: readiness, addresses,
/// metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// A server on "ip:port", which must be well-formed. Null, with why, when
/// nothing can listen there.
std::unique_ptr<HttpServer>
ServeOn(Reactor& aReactor,
        const std::string& aAddress,
        HttpServerSettings aSettings,
        HttpRequestHandler* aHandler,
        Reason* aReason);

/// Answers the pages of one listening address.
class PageServer : public HttpRequestHandler
{
public:
  /// Gives a page, or nothing when there is none under that path.
  using Page = std::function<std::optional<PageAnswer>(const HttpRequest&)>;

  /// Null, with why, when nothing can listen there.
  static std::unique_ptr<PageServer> Create(Reactor& aReactor,
                                            const std::string& aAddress,
                                            Page aPage,
                                            Reason* aReason);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  explicit PageServer(Page aPage);

  Page mPage;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace peridothoist
