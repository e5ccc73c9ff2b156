/// A minimal example of the library: a server that responds with a greeting,
/// and a client in the same process that calls it once.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Reactor.h>

using namespace peridothoist;

namespace {

/// Responds to every request with a greeting.
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

  // Listens on a free port of the loopback interface.
  HelloHandler handler;
  std::string reason;
  const auto server =
    HttpServer::Create(*reactor, HttpServer::Settings(), &handler, &reason);
  if (server == nullptr) {
    Log::Error("no_server").Field("reason", reason);
    return 1;
  }

  // Calls the server, and stops the loop when the call has ended.
  const auto client = HttpClient::Create(*reactor);
  if (client == nullptr) {
    Log::Error("no_client");
    return 1;
  }
  HttpCall call;
  call.mUrl = "http://127.0.0.1:" + std::to_string(server->Port()) + "/";
  bool isSuccess = false;
  client->Fetch(call,
                [&](const HttpCallResult& aResult, const std::string& aBody) {
                  isSuccess = aResult.mFailure == CallFailure::None;
                  std::fputs(aBody.c_str(), stdout);
                  reactor->Stop();
                });
  reactor->Run();
  return isSuccess ? 0 : 1;
}
