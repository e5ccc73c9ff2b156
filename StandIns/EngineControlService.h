/// Control port for tests of a process that hosts several engine stand-ins. It
/// also responds for engines that are stopped.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineHost.h>

namespace peridothoist::standin {

/// Handles POST /faults, GET /log and GET /stats for the engine in
/// ?engine=ip:port. Without that parameter, /faults and /stats apply to all
/// engines and /log to the first. "alive" in the body of /faults stops or
/// starts an engine.
class EngineControlService : public HttpRequestHandler
{
public:
  explicit EngineControlService(
    std::vector<std::unique_ptr<EngineHost>>& aEngines)
    : mEngines(aEngines)
  {
  }

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// An HTTP call and its handler.
  struct Call
  {
    const char* mMethod;
    const char* mPath;
    void (EngineControlService::*mHandler)(HttpExchange& aExchange);
  };
  static const Call kCalls[3];

  void ServeFaults(HttpExchange& aExchange);
  void ServeLog(HttpExchange& aExchange);
  void ServeStats(HttpExchange& aExchange);
  std::vector<EngineHost*> SelectEngines(const HttpRequest& aRequest);

  std::vector<std::unique_ptr<EngineHost>>& mEngines;
};

} // namespace peridothoist::standin
