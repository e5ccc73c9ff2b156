/// Routes the engine stand-in's calls through a table of member functions.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineService.h>

namespace peridothoist::standin {

namespace {

constexpr Duration kLoadSampleTime = 20ms;

} // namespace

const EngineService::Call EngineService::kCalls[14] = {
  { "POST", "/v1/reservations", &EngineService::ServeReserve, false },
  { "POST", "/v1/prefill", &EngineService::ServePrefill, false },
  { "POST", "/v1/import", &EngineService::ServeImport, false },
  { "POST", "/v1/decode", &EngineService::ServeDecode, false },
  { "POST", "/v1/cancel", &EngineService::ServeCancel, false },
  { "GET", "/v1/requests", &EngineService::ServeRequests, false },
  { "GET", "/v1/load", &EngineService::ServeLoad, false },
  { "GET", "/v1/cache_events", &EngineService::ServeCacheEvents, false },
  { "POST", "/v1/orders", &EngineService::ServeOrder, false },
  { "GET", "/v1/state", &EngineService::ServeState, false },
  { "GET", "/v1/kv/", &EngineService::ServeKv, false },
  { "POST", "/faults", &EngineService::ServeFaults, true },
  { "GET", "/log", &EngineService::ServeLog, true },
  { "GET", "/stats", &EngineService::ServeStats, true },
};

EngineService::EngineService(Reactor& aReactor,
                             HttpClient& aClient,
                             const EngineSettings& aSettings,
                             EngineFaults& aFaults,
                             RequestLog& aLog,
                             Random& aRandom,
                             std::function<void()> aCrash)
  : mTimers(aReactor)
  , mContext{ aSettings, aFaults,          aLog, aRandom, aClient,
              mTimers,   std::move(aCrash) }
  , mDecode(mContext)
  , mPrefill(mContext)
  , mOrders(aSettings.mRole, aSettings.mChecksFence)
  , mLoad(aSettings.mLoadLag, Load{ aSettings.mMemoryPieces, 0, 0 })
{
  mOrders.Apply({ "", "load", aSettings.mModel, 0 });
  SampleLoad();
}

void
EngineService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const Call* call = FindCall(kCalls, aExchange->Request());
  if (call == nullptr) {
    RespondJson(*aExchange, 404, { { "error", "no such call" } });
    return;
  }
  if (call->mIsTestCall) {
    (this->*call->mHandler)(aExchange);
    return;
  }
  if (mContext.mSettings.mIsLogEnabled) {
    mContext.mLog.AddReceived(mContext.Now(), aExchange->Request());
  }
  if (ConsumeFault(mContext.mFaults.mFailNext)) {
    RespondJson(*aExchange, 500, { { "error", "failed" } });
    return;
  }
  if (mContext.mFaults.mDelay == Duration::zero()) {
    (this->*call->mHandler)(aExchange);
    return;
  }
  mTimers.Schedule(mContext.mFaults.mDelay, [this, call, aExchange] {
    (this->*call->mHandler)(aExchange);
  });
}

EngineService::Load
EngineService::MeasureLoad() const
{
  Load load;
  load.mFreePieces = mDecode.Memory().FreePieces();
  load.mRunning = mDecode.RunningCount() + mPrefill.RunningCount();
  load.mQueued = mPrefill.QueuedCount();
  return load;
}

Json
EngineService::Stats() const
{
  const EngineMemory& memory = mDecode.Memory();
  return { { "free_pieces", memory.FreePieces() },
           { "total_pieces", memory.TotalPieces() },
           { "held_requests", memory.Reservations().size() },
           { "tokens", mDecode.TokenCount() },
           { "prefills", mPrefill.FinishedCount() },
           { "prefills_wasted", mPrefill.UnfetchedCount() } };
}

void
EngineService::ServeReserve(const ExchangePtr& aExchange)
{
  mDecode.ServeReserve(aExchange);
}

void
EngineService::ServeImport(const ExchangePtr& aExchange)
{
  mDecode.ServeImport(aExchange);
}

void
EngineService::ServeDecode(const ExchangePtr& aExchange)
{
  mDecode.ServeDecode(aExchange);
}

void
EngineService::ServeRequests(const ExchangePtr& aExchange)
{
  mDecode.ServeRequests(aExchange);
}

void
EngineService::ServePrefill(const ExchangePtr& aExchange)
{
  mPrefill.ServePrefill(aExchange);
}

void
EngineService::ServeKv(const ExchangePtr& aExchange)
{
  mPrefill.ServeKv(aExchange);
}

void
EngineService::ServeCacheEvents(const ExchangePtr& aExchange)
{
  mPrefill.ServeCacheEvents(aExchange);
}

void
EngineService::ServeCancel(const ExchangePtr& aExchange)
{
  if (ConsumeFault(mContext.mFaults.mLoseCancels)) {
    CloseWithoutResponse(*aExchange);
    return;
  }
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = StringField(body, "request");
  const std::string instance = StringField(body, "instance");
  std::uint32_t pieces = 0;
  if (!request.empty()) {
    mPrefill.CancelRequest(request);
    pieces += mDecode.CancelRequest(request);
  }
  if (!instance.empty()) {
    mPrefill.CancelInstance(instance);
    pieces += mDecode.CancelInstance(instance);
  }
  RespondJson(*aExchange, 200, { { "freed_pieces", pieces } });
}

void
EngineService::ServeLoad(const ExchangePtr& aExchange)
{
  const Load load = mLoad.Get(mContext.Now());
  RespondJson(*aExchange,
              200,
              { { "role", mOrders.State().mRole },
                { "free_pieces", load.mFreePieces },
                { "total_pieces", mDecode.Memory().TotalPieces() },
                { "running", load.mRunning },
                { "queued", load.mQueued },
                { "measured_ms_ago", mContext.mSettings.mLoadLag / 1ms } });
}

void
EngineService::ServeOrder(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  const EngineOrder order{ StringField(body, "order"),
                           StringField(body, "kind"),
                           StringField(body, "argument"),
                           UnsignedField(body, "fence") };
  const Duration time = mContext.mSettings.mOrderDelay;
  if (time == Duration::zero()) {
    ApplyOrder(order, *aExchange);
    return;
  }
  mTimers.Schedule(time,
                   [this, order, aExchange] { ApplyOrder(order, *aExchange); });
}

void
EngineService::ApplyOrder(const EngineOrder& aOrder, HttpExchange& aExchange)
{
  const OrderResult result = mOrders.Apply(aOrder);
  if (result == OrderResult::Applied) {
    mContext.LogExecution("order " + aOrder.mKind, aOrder.mOrder);
  }
  if (ConsumeFault(mContext.mFaults.mLoseResponses)) {
    CloseWithoutResponse(aExchange);
    return;
  }
  switch (result) {
    case OrderResult::Applied:
      RespondJson(aExchange, 200, { { "applied", true } });
      return;
    case OrderResult::StaleFence:
      RespondJson(aExchange,
                  409,
                  { { "error", "stale fence" }, { "fence", mOrders.Fence() } });
      return;
    case OrderResult::UnknownKind:
      RespondJson(aExchange, 400, { { "error", "unknown kind" } });
      return;
  }
}

void
EngineService::ServeState(const ExchangePtr& aExchange)
{
  const EngineState& state = mOrders.State();
  RespondJson(*aExchange,
              200,
              { { "model", state.mModel },
                { "adapters", state.mAdapters },
                { "version", state.mVersion },
                { "role", state.mRole },
                { "last_order", state.mLastOrder } });
}

void
EngineService::ServeFaults(const ExchangePtr& aExchange)
{
  const Json body = ParseObject(aExchange->Request().mBody);
  mContext.mFaults.Update(body);
  RespondJson(*aExchange, 200, Json::object());
  if (!BoolField(body, "alive", true)) {
    mContext.mCrash();
  }
}

void
EngineService::ServeLog(const ExchangePtr& aExchange)
{
  aExchange->Respond(
    200, { { "content-type", "application/json" } }, mContext.mLog.ToJson());
}

void
EngineService::ServeStats(const ExchangePtr& aExchange)
{
  RespondJson(*aExchange, 200, Stats());
}

void
EngineService::SampleLoad()
{
  mLoad.Set(mContext.Now(), MeasureLoad());
  mTimers.Schedule(kLoadSampleTime, [this] { SampleLoad(); });
}

} // namespace peridothoist::standin
