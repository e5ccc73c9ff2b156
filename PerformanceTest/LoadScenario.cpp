/// Implements the scenarios by faults of the stand-ins.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/LoadScenario.h>

#include <nlohmann/json.hpp>

namespace peridothoist::perf {

namespace {

constexpr double kAggressiveRateMultiplier = 5;

/// Posts one set of faults to a stand-in when the middle third of the run
/// begins, and another when it ends.
class FaultScenario : public LoadScenario
{
public:
  FaultScenario(Reactor& aReactor,
                HttpClient& aClient,
                std::string aUrl,
                std::string aFaultBody,
                std::string aRecoveryBody)
    : mReactor(aReactor)
    , mClient(aClient)
    , mUrl(std::move(aUrl))
    , mFaultBody(std::move(aFaultBody))
    , mRecoveryBody(std::move(aRecoveryBody))
  {
  }

  // See: LoadScenario
  void Start(Duration aLength) override
  {
    mReactor.Schedule(aLength / 3, [this] { Post(mFaultBody); });
    mReactor.Schedule(aLength * 2 / 3, [this] { Post(mRecoveryBody); });
  }

private:
  void Post(const std::string& aBody)
  {
    HttpCall call;
    call.mMethod = "POST";
    call.mUrl = mUrl;
    call.mBody = aBody;
    mClient.Fetch(std::move(call),
                  [](const HttpCallResult&, const std::string&) {});
  }

  Reactor& mReactor;
  HttpClient& mClient;
  std::string mUrl;
  std::string mFaultBody;
  std::string mRecoveryBody;
};

/// The second largest tenant sends several times its rate.
class AggressiveTenantScenario : public LoadScenario
{
public:
  // See: LoadScenario
  void AdjustWorkload(Workload& aWorkload) override
  {
    aWorkload.mTenants[1].mRateMultiplier = kAggressiveRateMultiplier;
  }
};

} // namespace

std::unique_ptr<LoadScenario>
LoadScenario::Create(const std::string& aName,
                     Reactor& aReactor,
                     HttpClient& aClient,
                     const RunningSystem& aSystem)
{
  if (aName == "peak") {
    return std::make_unique<LoadScenario>();
  }
  if (aName == "aggressive") {
    return std::make_unique<AggressiveTenantScenario>();
  }
  if (aName == "engine_lost" && !aSystem.mDecodes.empty()) {
    const std::string url = "http://" + aSystem.mStandInEngines +
                            "/faults?engine=" + aSystem.mDecodes[0];
    return std::make_unique<FaultScenario>(
      aReactor, aClient, url, R"({"alive":false})", R"({"alive":true})");
  }
  if (aName == "outage") {
    const std::string url = "http://" + aSystem.mStandInPlatform + "/faults";
    return std::make_unique<FaultScenario>(
      aReactor, aClient, url, R"({"outage":true})", R"({"outage":false})");
  }
  return nullptr;
}

void
ReadEngineCounts(HttpClient& aClient,
                 const RunningSystem& aSystem,
                 std::function<void(const EngineCounts&)> aDone)
{
  HttpCall call;
  call.mUrl = "http://" + aSystem.mStandInEngines + "/stats";
  aClient.Fetch(
    std::move(call),
    [done = std::move(aDone)](const HttpCallResult&, const std::string& aBody) {
      EngineCounts counts;
      const auto stats = nlohmann::json::parse(aBody, nullptr, false);
      for (const auto& it : stats) {
        counts.mPrefills += it.value("prefills", 0.0);
        counts.mWastedPrefills += it.value("prefills_wasted", 0.0);
        counts.mTokens += it.value("tokens", 0.0);
      }
      done(counts);
    });
}

} // namespace peridothoist::perf
