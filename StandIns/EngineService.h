/// HTTP interface of one engine stand-in: routes calls, injects faults, applies
/// orders and reports the load with a delay. See docs/UPSTREAMS.md.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeService.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/EngineOrderHandler.h>
#include <StandIns/PrefillService.h>

namespace peridothoist::standin {

/// Handles all HTTP calls of one engine until the engine crashes.
class EngineService : public HttpRequestHandler
{
public:
  EngineService(Reactor& aReactor,
                HttpClient& aClient,
                const EngineSettings& aSettings,
                EngineFaults& aFaults,
                RequestLog& aLog,
                Random& aRandom,
                std::function<void()> aCrash);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

  /// Returns the engine's statistics for tests, as JSON.
  Json Stats() const;

private:
  /// An HTTP call and its handler.
  struct Call
  {
    const char* mMethod;
    const char* mPath; ///< A path prefix if it ends with '/'.
    void (EngineService::*mHandler)(const ExchangePtr& aExchange);
    bool mIsTestCall; ///< Exempt from faults and from the request log.
  };
  static const Call kCalls[14];

  /// Contents of a load report.
  struct Load
  {
    std::uint32_t mFreePieces = 0;
    std::size_t mRunning = 0;
    std::size_t mQueued = 0;
  };

  Load MeasureLoad() const;

  // Calls of the decode and prefill services.
  void ServeReserve(const ExchangePtr& aExchange);
  void ServeImport(const ExchangePtr& aExchange);
  void ServeDecode(const ExchangePtr& aExchange);
  void ServeRequests(const ExchangePtr& aExchange);
  void ServePrefill(const ExchangePtr& aExchange);
  void ServeKv(const ExchangePtr& aExchange);
  void ServeCacheEvents(const ExchangePtr& aExchange);

  // Calls that concern the whole engine.
  void ServeCancel(const ExchangePtr& aExchange);
  void ServeLoad(const ExchangePtr& aExchange);
  void ServeOrder(const ExchangePtr& aExchange);
  void ServeState(const ExchangePtr& aExchange);
  void ServeFaults(const ExchangePtr& aExchange);
  void ServeLog(const ExchangePtr& aExchange);
  void ServeStats(const ExchangePtr& aExchange);
  void ApplyOrder(const EngineOrder& aOrder, HttpExchange& aExchange);
  void SampleLoad();

  OwnedTimers mTimers;
  EngineContext mContext;
  DecodeService mDecode;
  PrefillService mPrefill;
  EngineOrderHandler mOrders;
  LaggedValue<Load> mLoad;
};

} // namespace peridothoist::standin
