/// The engine stand-in's calls as a table of member functions.
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
  if (call->mForTests) {
    (this->*call->mServe)(aExchange);
    return;
  }
  if (mContext.mSettings.mKeepLog) {
    mContext.mLog.Received(mContext.Now(), aExchange->Request());
  }
  if (TakeFault(mContext.mFaults.mFailNext)) {
    RespondJson(*aExchange, 500, { { "error", "failed" } });
    return;
  }
  if (mContext.mFaults.mDelay == Duration::zero()) {
    (this->*call->mServe)(aExchange);
    return;
  }
  mTimers.After(mContext.mFaults.mDelay,
                [this, call, aExchange] { (this->*call->mServe)(aExchange); });
}

EngineService::Load
EngineService::Measure() const
{
  Load load;
  load.mFreePieces = mDecode.Memory().FreePieces();
  load.mRunning = mDecode.Running() + mPrefill.Running();
  load.mQueued = mPrefill.Waiting();
  return load;
}

Json
EngineService::Stats() const
{
  const EngineMemory& memory = mDecode.Memory();
  return { { "free_pieces", memory.FreePieces() },
           { "total_pieces", memory.TotalPieces() },
           { "held_requests", memory.All().size() },
           { "tokens", mDecode.Tokens() },
           { "prefills", mPrefill.Finished() },
           { "prefills_wasted", mPrefill.Wasted() } };
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
  if (TakeFault(mContext.mFaults.mLoseCancels)) {
    CloseWithoutAnswer(*aExchange);
    return;
  }
  const Json body = ParseObject(aExchange->Request().mBody);
  const std::string request = TextField(body, "request");
  const std::string instance = TextField(body, "instance");
  std::uint32_t pieces = 0;
  if (!request.empty()) {
    mPrefill.Cancel(request);
    pieces += mDecode.Cancel(request);
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
  const EngineOrder order{ TextField(body, "order"),
                           TextField(body, "kind"),
                           TextField(body, "argument"),
                           NumberField(body, "fence") };
  const Duration time = mContext.mSettings.mOrderTime;
  if (time == Duration::zero()) {
    ApplyOrder(order, *aExchange);
    return;
  }
  mTimers.After(time,
                [this, order, aExchange] { ApplyOrder(order, *aExchange); });
}

void
EngineService::ApplyOrder(const EngineOrder& aOrder, HttpExchange& aExchange)
{
  const OrderResult result = mOrders.Apply(aOrder);
  if (result == OrderResult::Applied) {
    mContext.NoteRan("order " + aOrder.mKind, aOrder.mOrder);
  }
  if (TakeFault(mContext.mFaults.mLoseAnswers)) {
    CloseWithoutAnswer(aExchange);
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
  mContext.mFaults.Read(body);
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
  mLoad.Set(mContext.Now(), Measure());
  mTimers.After(kLoadSampleTime, [this] { SampleLoad(); });
}

} // namespace peridothoist::standin
