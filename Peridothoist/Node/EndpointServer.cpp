#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/EndpointServer.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

namespace peridothoist {

namespace {

/// Endpoints have few clients, such as health checks and metrics scrapers.
constexpr std::uint32_t kMaxConnections = 256;

/// No endpoint reads a body.
constexpr std::uint32_t kMaxBodyBytes = 4 * 1024;

} // namespace

std::unique_ptr<HttpServer>
StartHttpServer(Reactor& aReactor,
                const std::string& aAddress,
                HttpServerSettings aSettings,
                HttpRequestHandler* aHandler,
                Reason* aReason)
{
  const auto address = ParseSocketAddress(aAddress);
  PH_ASSERT(address.has_value());
  aSettings.mAddress = address->mIp;
  aSettings.mPort = address->mPort;
  std::string error;
  auto server = HttpServer::Create(aReactor, aSettings, aHandler, &error);
  if (server == nullptr) {
    Reason::Set(aReason, ReasonCode::Refused, "listen: " + error);
  }
  return server;
}

std::unique_ptr<EndpointServer>
EndpointServer::Create(Reactor& aReactor,
                       const std::string& aAddress,
                       const std::shared_ptr<MemoryBudget>& aMemory,
                       Handler aHandler,
                       Reason* aReason)
{
  HttpServerSettings settings;
  settings.mMaxConnections = kMaxConnections;
  settings.mMaxBodyBytes = kMaxBodyBytes;
  settings.mMemory = aMemory;
  std::unique_ptr<EndpointServer> endpoint(
    new EndpointServer(std::move(aHandler)));
  endpoint->mServer =
    StartHttpServer(aReactor, aAddress, settings, endpoint.get(), aReason);
  return endpoint->mServer != nullptr ? std::move(endpoint) : nullptr;
}

EndpointServer::EndpointServer(Handler aHandler)
  : mHandler(std::move(aHandler))
{
}

void
EndpointServer::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const auto response = mHandler(aExchange->Request());
  if (!response) {
    aExchange->Respond(
      404, { { "content-type", "text/plain" } }, "not found\n");
    return;
  }
  aExchange->Respond(response->mStatus, response->mHeaders, response->mBody);
}

} // namespace peridothoist
