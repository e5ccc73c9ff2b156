/// HTTP endpoint on a listening address of its own: readiness, node addresses
/// or metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Node/CallerProtocol.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// Starts a server on aAddress, which must be a well-formed "ip:port". Returns
/// nullptr and sets aReason if it cannot listen there.
std::unique_ptr<HttpServer>
StartHttpServer(Reactor& aReactor,
                const std::string& aAddress,
                HttpServerSettings aSettings,
                HttpRequestHandler* aHandler,
                Reason* aReason);

/// Serves the requests of one listening address.
class EndpointServer : public HttpRequestHandler
{
public:
  /// Returns the response, or nullopt if the path is not found.
  using Handler =
    std::function<std::optional<EndpointResponse>(const HttpRequest&)>;

  /// Returns nullptr and sets aReason if it cannot listen on aAddress. aMemory:
  /// what responses are drawn from; null: no bound.
  static std::unique_ptr<EndpointServer> Create(
    Reactor& aReactor,
    const std::string& aAddress,
    const std::shared_ptr<MemoryBudget>& aMemory,
    Handler aHandler,
    Reason* aReason);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  explicit EndpointServer(Handler aHandler);

  Handler mHandler;
  std::unique_ptr<HttpServer> mServer;
};

} // namespace peridothoist
