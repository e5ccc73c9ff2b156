/// Faults, logs and statistics of hosted engines.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineManager.h>

namespace peridothoist::standin {

const EngineManager::Call EngineManager::kCalls[3] = {
  { "POST", "/faults", &EngineManager::ServeFaults },
  { "GET", "/log", &EngineManager::ServeLog },
  { "GET", "/stats", &EngineManager::ServeStats },
};

void
EngineManager::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const Call* call = FindCall(kCalls, aExchange->Request());
  if (call == nullptr || Chosen(aExchange->Request()).empty()) {
    RespondJson(*aExchange, 404, { { "error", "no such call or engine" } });
    return;
  }
  (this->*call->mServe)(*aExchange);
}

void
EngineManager::ServeFaults(HttpExchange& aExchange)
{
  const Json body = ParseObject(aExchange.Request().mBody);
  bool done = true;
  for (EngineHost* it : Chosen(aExchange.Request())) {
    it->Faults().Read(body);
    if (!body.contains("alive")) {
      continue;
    }
    if (BoolField(body, "alive")) {
      done = it->Start() && done;
    } else {
      it->Kill();
    }
  }
  RespondJson(aExchange, done ? 200 : 500, Json::object());
}

void
EngineManager::ServeLog(HttpExchange& aExchange)
{
  aExchange.Respond(200,
                    { { "content-type", "application/json" } },
                    Chosen(aExchange.Request()).front()->Log().ToJson());
}

void
EngineManager::ServeStats(HttpExchange& aExchange)
{
  Json stats = Json::object();
  for (const EngineHost* it : Chosen(aExchange.Request())) {
    stats[it->Address()] = it->Stats();
  }
  RespondJson(aExchange, 200, stats);
}

std::vector<EngineHost*>
EngineManager::Chosen(const HttpRequest& aRequest)
{
  const std::string address = QueryField(aRequest, "engine", "");
  std::vector<EngineHost*> chosen;
  for (const auto& it : mEngines) {
    if (address.empty() || it->Address() == address) {
      chosen.push_back(it.get());
    }
  }
  return chosen;
}

} // namespace peridothoist::standin
