/// Controls the faults, logs and statistics of the hosted engines.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineControlService.h>

namespace peridothoist::standin {

const EngineControlService::Call EngineControlService::kCalls[3] = {
  { "POST", "/faults", &EngineControlService::ServeFaults },
  { "GET", "/log", &EngineControlService::ServeLog },
  { "GET", "/stats", &EngineControlService::ServeStats },
};

void
EngineControlService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const Call* call = FindCall(kCalls, aExchange->Request());
  if (call == nullptr || SelectEngines(aExchange->Request()).empty()) {
    RespondJson(*aExchange, 404, { { "error", "no such call or engine" } });
    return;
  }
  (this->*call->mHandler)(*aExchange);
}

void
EngineControlService::ServeFaults(HttpExchange& aExchange)
{
  const Json body = ParseObject(aExchange.Request().mBody);
  bool allStarted = true;
  for (EngineHost* it : SelectEngines(aExchange.Request())) {
    it->Faults().Update(body);
    if (!body.contains("alive")) {
      continue;
    }
    if (BoolField(body, "alive")) {
      allStarted = it->Start() && allStarted;
    } else {
      it->Kill();
    }
  }
  RespondJson(aExchange, allStarted ? 200 : 500, Json::object());
}

void
EngineControlService::ServeLog(HttpExchange& aExchange)
{
  aExchange.Respond(200,
                    { { "content-type", "application/json" } },
                    SelectEngines(aExchange.Request()).front()->Log().ToJson());
}

void
EngineControlService::ServeStats(HttpExchange& aExchange)
{
  Json stats = Json::object();
  for (const EngineHost* it : SelectEngines(aExchange.Request())) {
    stats[it->Address()] = it->Stats();
  }
  RespondJson(aExchange, 200, stats);
}

std::vector<EngineHost*>
EngineControlService::SelectEngines(const HttpRequest& aRequest)
{
  const std::string address = QueryParameter(aRequest, "engine", "");
  std::vector<EngineHost*> selected;
  for (const auto& it : mEngines) {
    if (address.empty() || it->Address() == address) {
      selected.push_back(it.get());
    }
  }
  return selected;
}

} // namespace peridothoist::standin
