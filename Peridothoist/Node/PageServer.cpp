#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PageServer.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

namespace peridothoist {

namespace {

/// Callers of pages only, which are few.
constexpr std::uint32_t kPageConnections = 256;

} // namespace

std::unique_ptr<HttpServer>
ServeOn(Reactor& aReactor,
        const std::string& aAddress,
        HttpServerSettings aSettings,
        HttpRequestHandler* aHandler,
        Reason* aReason)
{
  const auto address = ParseSocketAddress(aAddress);
  PH_ASSERT(address.has_value());
  aSettings.mAddress = address->mNumber;
  aSettings.mPort = address->mPort;
  std::string fault;
  auto server = HttpServer::Create(aReactor, aSettings, aHandler, &fault);
  if (server == nullptr) {
    Reason::Set(aReason, ReasonCode::Refused, "listen: " + fault);
  }
  return server;
}

std::unique_ptr<PageServer>
PageServer::Create(Reactor& aReactor,
                   const std::string& aAddress,
                   Page aPage,
                   Reason* aReason)
{
  HttpServerSettings settings;
  settings.mMaxConnections = kPageConnections;
  std::unique_ptr<PageServer> pages(new PageServer(std::move(aPage)));
  pages->mServer = ServeOn(aReactor, aAddress, settings, pages.get(), aReason);
  return pages->mServer != nullptr ? std::move(pages) : nullptr;
}

PageServer::PageServer(Page aPage)
  : mPage(std::move(aPage))
{
}

void
PageServer::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const auto answer = mPage(aExchange->Request());
  if (!answer) {
    aExchange->Respond(404, { { "content-type", "text/plain" } }, "no page\n");
    return;
  }
  aExchange->Respond(answer->mStatus, answer->mHeaders, answer->mBody);
}

} // namespace peridothoist
