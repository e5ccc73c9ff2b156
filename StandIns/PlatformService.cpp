/// Serves the platform's calls from in-memory state.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PlatformService.h>

#include <charconv>

namespace peridothoist::standin {

namespace {

constexpr std::string_view kObjectsPath = "/objects/";
constexpr std::size_t kMaxRows = 1000;

Transaction
ReadTransaction(const Json& aBody)
{
  Transaction transaction;
  for (const Json& it : aBody.value("conditions", Json::array())) {
    transaction.mConditions.push_back(
      { StringField(it, "key"), UnsignedField(it, "version") });
  }
  for (const Json& it : aBody.value("writes", Json::array())) {
    RowWrite write{ StringField(it, "key"), std::nullopt };
    if (it.contains("value") && it["value"].is_string()) {
      write.mValue = it["value"].get<std::string>();
    }
    transaction.mWrites.push_back(std::move(write));
  }
  return transaction;
}

OutageKind
ReadOutage(const Json& aValue)
{
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? OutageKind::Refuse : OutageKind::None;
  }
  if (aValue == "silent") {
    return OutageKind::Silent;
  }
  if (aValue == "close") {
    return OutageKind::Close;
  }
  return OutageKind::None;
}

std::size_t
ReadLimit(const std::string& aText)
{
  std::size_t limit = kMaxRows;
  std::from_chars(aText.data(), aText.data() + aText.size(), limit);
  return std::min(limit, kMaxRows);
}

} // namespace

const PlatformService::Call PlatformService::kCalls[8] = {
  { "POST", "/tables/txn", &PlatformService::ServeTransaction, false },
  { "GET", "/tables/rows", &PlatformService::ServeRows, false },
  { "PUT", "/objects/", &PlatformService::ServePutObject, false },
  { "GET", "/objects/", &PlatformService::ServeGetObject, false },
  { "GET", "/vms", &PlatformService::ServeVms, false },
  { "PUT", "/vms", &PlatformService::ServePutVms, true },
  { "POST", "/faults", &PlatformService::ServeFaults, true },
  { "GET", "/stats", &PlatformService::ServeStats, true },
};

PlatformService::PlatformService(Reactor& aReactor, const Settings& aSettings)
  : mTimers(aReactor)
  , mRandom(aSettings.mSeed)
  , mVms(aSettings.mVmListLag, Json::array())
  , mWriteLimiter(aSettings.mWritesPerSecond)
  , mReadLimiter(aSettings.mReadsPerSecond)
{
}

void
PlatformService::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const Call* call = FindCall(kCalls, aExchange->Request());
  if (call == nullptr) {
    RespondJson(*aExchange, 404, { { "error", "no such call" } });
    return;
  }
  if (call->mIsTestCall) {
    (this->*call->mHandler)(*aExchange);
    return;
  }
  if (mFaults.mDelay == Duration::zero()) {
    ServeWithFaults(*call, aExchange);
    return;
  }
  mTimers.Schedule(mFaults.mDelay, [this, call, aExchange] {
    ServeWithFaults(*call, aExchange);
  });
}

void
PlatformService::ServeWithFaults(const Call& aCall,
                                 const ExchangePtr& aExchange)
{
  if (mFaults.mOutage != OutageKind::None) {
    ++mOutageCalls;
  }
  switch (mFaults.mOutage) {
    case OutageKind::None:
      (this->*aCall.mHandler)(*aExchange);
      return;
    case OutageKind::Refuse:
      RespondJson(*aExchange, 503, { { "error", "outage" } });
      return;
    case OutageKind::Silent:
      mUnansweredExchanges.push_back(aExchange);
      return;
    case OutageKind::Close:
      CloseWithoutResponse(*aExchange);
      return;
  }
}

void
PlatformService::ServeTransaction(HttpExchange& aExchange)
{
  if (!AdmitWrite(aExchange)) {
    return;
  }
  const Json body = ParseObject(aExchange.Request().mBody);
  const TransactionResult result = mTable.Apply(ReadTransaction(body));
  if (ShouldLoseResponse()) {
    CloseWithoutResponse(aExchange);
    return;
  }
  if (result.mCommitted) {
    RespondJson(aExchange,
                200,
                { { "committed", true }, { "revision", result.mRevision } });
    return;
  }
  RespondJson(aExchange,
              409,
              { { "committed", false },
                { "conflict", result.mConflict },
                { "version", result.mConflictVersion } });
}

void
PlatformService::ServeRows(HttpExchange& aExchange)
{
  if (!AdmitRead(aExchange)) {
    return;
  }
  const HttpRequest& request = aExchange.Request();
  const std::string from = QueryParameter(request, "from", "");
  const std::string to = QueryParameter(request, "to", "\xff");
  const std::size_t limit = ReadLimit(QueryParameter(request, "limit", ""));
  const RowPage page = mTable.Read(from, to, limit);
  Json rows = Json::array();
  for (const Row& it : page.mRows) {
    rows.push_back({ { "key", it.mKey },
                     { "value", it.mValue },
                     { "version", it.mVersion } });
  }
  RespondJson(aExchange,
              200,
              { { "revision", page.mRevision },
                { "rows", std::move(rows) },
                { "more", page.mHasMore } });
}

void
PlatformService::ServePutObject(HttpExchange& aExchange)
{
  if (!AdmitWrite(aExchange)) {
    return;
  }
  const HttpRequest& request = aExchange.Request();
  mObjects[request.mPath.substr(kObjectsPath.size())] = request.mBody;
  if (ShouldLoseResponse()) {
    CloseWithoutResponse(aExchange);
    return;
  }
  RespondJson(aExchange, 200, Json::object());
}

void
PlatformService::ServeGetObject(HttpExchange& aExchange)
{
  if (!AdmitRead(aExchange)) {
    return;
  }
  const auto it =
    mObjects.find(aExchange.Request().mPath.substr(kObjectsPath.size()));
  if (it == mObjects.end()) {
    RespondJson(aExchange, 404, { { "error", "no such object" } });
    return;
  }
  aExchange.Respond(200, {}, it->second);
}

void
PlatformService::ServeVms(HttpExchange& aExchange)
{
  if (AdmitRead(aExchange)) {
    RespondJson(aExchange, 200, { { "vms", mVms.Get(mTimers.Now()) } });
  }
}

void
PlatformService::ServePutVms(HttpExchange& aExchange)
{
  const Json body = ParseObject(aExchange.Request().mBody);
  mVms.Set(mTimers.Now(), body.value("vms", Json::array()));
  RespondJson(aExchange, 200, Json::object());
}

void
PlatformService::ServeFaults(HttpExchange& aExchange)
{
  const Json body = ParseObject(aExchange.Request().mBody);
  if (body.contains("outage")) {
    mFaults.mOutage = ReadOutage(body["outage"]);
  }
  const auto delay = UnsignedField(
    body, "delay_ms", static_cast<std::uint64_t>(mFaults.mDelay / 1ms));
  mFaults.mDelay = std::chrono::milliseconds(delay);
  mFaults.mLoseResponseProbability = DoubleField(
    body, "lose_answer_probability", mFaults.mLoseResponseProbability);
  mFaults.mLoseNextResponses =
    UnsignedField(body, "lose_next_answers", mFaults.mLoseNextResponses);
  if (body.contains("writes_per_second")) {
    mWriteLimiter.SetRate(DoubleField(body, "writes_per_second"));
  }
  if (body.contains("reads_per_second")) {
    mReadLimiter.SetRate(DoubleField(body, "reads_per_second"));
  }
  for (const ExchangePtr& it : mUnansweredExchanges) {
    CloseWithoutResponse(*it);
  }
  mUnansweredExchanges.clear();
  RespondJson(aExchange, 200, Json::object());
}

void
PlatformService::ServeStats(HttpExchange& aExchange)
{
  RespondJson(aExchange,
              200,
              { { "writes", mWriteLimiter.AcceptedCount() },
                { "reads", mReadLimiter.AcceptedCount() },
                { "writes_refused", mWriteLimiter.RejectedCount() },
                { "reads_refused", mReadLimiter.RejectedCount() },
                { "outage_calls", mOutageCalls },
                { "revision", mTable.Revision() } });
}

bool
PlatformService::AdmitRead(HttpExchange& aExchange)
{
  const bool taken = mReadLimiter.TryTake(mTimers.Now());
  if (!taken) {
    RespondJson(aExchange, 429, { { "error", "over the read rate" } });
  }
  return taken;
}

bool
PlatformService::AdmitWrite(HttpExchange& aExchange)
{
  const bool taken = mWriteLimiter.TryTake(mTimers.Now());
  if (!taken) {
    RespondJson(aExchange, 429, { { "error", "over the write rate" } });
  }
  return taken;
}

bool
PlatformService::ShouldLoseResponse()
{
  if (mFaults.mLoseNextResponses > 0) {
    --mFaults.mLoseNextResponses;
    return true;
  }
  return mRandom.UniformFraction() < mFaults.mLoseResponseProbability;
}

} // namespace peridothoist::standin
