/// The tests' own port of a process that hosts many engine stand-ins: it
/// answers for dead engines too.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineHost.h>

namespace peridothoist::standin {

/// Serves POST /faults, GET /log and GET /stats, each with ?engine=ip:port;
/// without it, /faults goes to all engines and the others to the first.
/// "alive" in a body of /faults kills or revives.
class EngineManager : public HttpRequestHandler
{
public:
  explicit EngineManager(std::vector<std::unique_ptr<EngineHost>>& aEngines)
    : mEngines(aEngines)
  {
  }

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// A call and what serves it.
  struct Call
  {
    const char* mMethod;
    const char* mPath;
    void (EngineManager::*mServe)(HttpExchange& aExchange);
  };
  static const Call kCalls[3];

  void ServeFaults(HttpExchange& aExchange);
  void ServeLog(HttpExchange& aExchange);
  void ServeStats(HttpExchange& aExchange);
  std::vector<EngineHost*> Chosen(const HttpRequest& aRequest);

  std::vector<std::unique_ptr<EngineHost>>& mEngines;
};

} // namespace peridothoist::standin
