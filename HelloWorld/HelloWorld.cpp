/// The smallest program over the library: a server that answers hello, and a
/// client in the same process that asks it once.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Reactor.h>

using namespace peridothoist;

namespace {

/// Answers every request with a greeting.
class HelloHandler : public HttpRequestHandler
{
public:
  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override
  {
    aExchange->Respond(
      200, { { "content-type", "text/plain" } }, "hello, world\n");
  }
};

} // namespace

int
main()
{
  const auto reactor = Reactor::Create();
  if (reactor == nullptr) {
    Log::Error("no_reactor");
    return 1;
  }

  // Listens on a free port of loopback.
  HelloHandler handler;
  std::string reason;
  const auto server =
    HttpServer::Create(*reactor, HttpServer::Settings(), &handler, &reason);
  if (server == nullptr) {
    Log::Error("no_server").Field("reason", reason);
    return 1;
  }

  // Asks, and stops the loop when the answer is there.
  const auto client = HttpClient::Create(*reactor);
  if (client == nullptr) {
    Log::Error("no_client");
    return 1;
  }
  HttpCall call;
  call.mUrl = "http://127.0.0.1:" + std::to_string(server->Port()) + "/";
  bool answered = false;
  client->Fetch(call,
                [&](const HttpCallOutcome& aOutcome, const std::string& aBody) {
                  answered = aOutcome.mFailure == CallFailure::None;
                  std::fputs(aBody.c_str(), stdout);
                  reactor->Stop();
                });
  reactor->Run();
  return answered ? 0 : 1;
}
