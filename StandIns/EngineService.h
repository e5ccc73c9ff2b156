/// One engine stand-in behind HTTP: dispatches calls, applies faults, keeps
/// its orders and reports its load with a lag. See docs/UPSTREAMS.md.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodePart.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/OrderBook.h>
#include <StandIns/PrefillPart.h>

namespace peridothoist::standin {

/// Serves one engine's calls until it crashes.
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

  /// What tests may read of an engine, as JSON.
  Json Stats() const;

private:
  /// A call and what serves it.
  struct Call
  {
    const char* mMethod;
    const char* mPath; ///< Ends with '/': a prefix.
    void (EngineService::*mServe)(const ExchangePtr& aExchange);
    bool mForTests; ///< Faults don't apply, and it isn't logged.
  };
  static const Call kCalls[14];

  /// What a load report says.
  struct Load
  {
    std::uint32_t mFreePieces = 0;
    std::size_t mRunning = 0;
    std::size_t mQueued = 0;
  };

  Load Measure() const;

  // The parts' calls.
  void ServeReserve(const ExchangePtr& aExchange);
  void ServeImport(const ExchangePtr& aExchange);
  void ServeDecode(const ExchangePtr& aExchange);
  void ServeRequests(const ExchangePtr& aExchange);
  void ServePrefill(const ExchangePtr& aExchange);
  void ServeKv(const ExchangePtr& aExchange);
  void ServeCacheEvents(const ExchangePtr& aExchange);

  // Calls of the engine as a whole.
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
  DecodePart mDecode;
  PrefillPart mPrefill;
  OrderBook mOrders;
  LaggedValue<Load> mLoad;
};

} // namespace peridothoist::standin
