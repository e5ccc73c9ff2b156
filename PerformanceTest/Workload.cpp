/// Workloads as data, and their arrivals.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Workload.h>

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace peridothoist::perf {

namespace {

constexpr std::size_t kBytesPerToken = 4;

double
MeanCost(const CallClass& aClass)
{
  const double prompt = (aClass.mMinPrompt + aClass.mMaxPrompt) / 2.0;
  const double answer = (aClass.mMinAnswer + aClass.mMaxAnswer) / 2.0;
  return prompt + answer;
}

double
TotalWeight(const Workload& aWorkload)
{
  return std::accumulate(
    aWorkload.mTenants.begin(),
    aWorkload.mTenants.end(),
    0.0,
    [](double aSum, const Tenant& aTenant) { return aSum + aTenant.mWeight; });
}

std::uint32_t
Between(Random& aRandom, std::uint32_t aLow, std::uint32_t aHigh)
{
  return aLow +
         static_cast<std::uint32_t>(aRandom.UniformBelow(aHigh - aLow + 1));
}

/// A text of some tokens: a common start, then words of its own.
std::string
MakePrompt(const Workload& aWorkload,
           const PlannedCall& aCall,
           std::uint32_t aTokens,
           Random& aRandom)
{
  const std::uint64_t document = aRandom.UniformBelow(aWorkload.mDocuments);
  const std::string start = "document " + std::to_string(document) + " of " +
                            aWorkload.mTenants[aCall.mTenant].mWorkspace + " ";
  const std::size_t bytes = aTokens * kBytesPerToken;
  const std::size_t common =
    std::min<std::size_t>(bytes, aWorkload.mDocumentTokens * kBytesPerToken);
  std::string text;
  while (text.size() < common) {
    text += start;
  }
  while (text.size() < bytes) {
    text += std::to_string(aRandom.UniformBelow(1000000)) + " ";
  }
  text.resize(bytes);
  return text;
}

void
FillCall(const Workload& aWorkload, PlannedCall& aCall, Random& aRandom)
{
  const CallClass& kind = aWorkload.mClasses[aCall.mClass];
  const std::uint32_t prompt =
    Between(aRandom, kind.mMinPrompt, kind.mMaxPrompt);
  aCall.mPrompt = MakePrompt(aWorkload, aCall, prompt, aRandom);
  aCall.mCost = prompt;
  if (!kind.mStream) {
    aCall.mBody = aCall.mPrompt;
    return;
  }
  aCall.mAnswerTokens = Between(aRandom, kind.mMinAnswer, kind.mMaxAnswer);
  aCall.mCost += aCall.mAnswerTokens;
  aCall.mBody = nlohmann::json{
    { "model", "m1" },
    { "prompt", aCall.mPrompt },
    { "max_tokens", aCall.mAnswerTokens },
    { "stream", true }
  }.dump();
}

void
PlanClass(const Workload& aWorkload,
          std::size_t aTenant,
          std::size_t aClass,
          Duration aLength,
          Random& aRandom,
          std::vector<PlannedCall>& aCalls)
{
  const Tenant& tenant = aWorkload.mTenants[aTenant];
  const double rate = aWorkload.mClasses[aClass].mPerSecond * tenant.mWeight *
                      tenant.mExcess / TotalWeight(aWorkload);
  const double end = std::chrono::duration<double>(aLength).count();
  double at = aRandom.Exponential(1.0 / rate);
  while (at < end) {
    PlannedCall call;
    call.mAt = Duration(static_cast<Duration::rep>(at * 1e6));
    call.mTenant = aTenant;
    call.mClass = aClass;
    aCalls.push_back(std::move(call));
    at += aRandom.Exponential(1.0 / rate);
  }
}

/// Marks the calls that each tenant's own allowance covers, over all VMs
/// together, as one bucket would count them.
void
MarkWithinRate(const Workload& aWorkload, std::vector<PlannedCall>& aCalls)
{
  struct Bucket
  {
    double mTokens = 0;
    Duration mLast{};
  };
  std::vector<Bucket> buckets(aWorkload.mTenants.size());
  for (std::size_t n = 0; n < buckets.size(); ++n) {
    const double rate = aWorkload.Allowance(aWorkload.mTenants[n]);
    buckets[n].mTokens = rate * aWorkload.mBurstSeconds;
  }
  for (PlannedCall& it : aCalls) {
    const double rate = aWorkload.Allowance(aWorkload.mTenants[it.mTenant]);
    Bucket& bucket = buckets[it.mTenant];
    const std::chrono::duration<double> gap = it.mAt - bucket.mLast;
    bucket.mTokens = std::min(rate * aWorkload.mBurstSeconds,
                              bucket.mTokens + rate * gap.count());
    bucket.mLast = it.mAt;
    it.mWithinRate = bucket.mTokens >= it.mCost;
    if (it.mWithinRate) {
      bucket.mTokens -= it.mCost;
    }
  }
}

Workload
Association()
{
  Workload workload;
  workload.mName = "association";
  workload.mClasses = {
    { "drafts", "/v1/completions", true, true, 60, 400, 1600, 60, 140 },
    { "certificates", "/certificates", false, false, 10, 50, 100, 0, 0 },
    { "lookups", "/lookups", false, true, 60, 10, 30, 0, 0 },
  };
  workload.mTenants = {
    { "ensenada", 40 }, { "mazatlan", 30 }, { "veracruz", 15 },
    { "campeche", 10 }, { "progreso", 5 },
  };
  return workload;
}

Workload
Daugava()
{
  Workload workload;
  workload.mName = "daugava";
  workload.mClasses = {
    { "summaries", "/v1/completions", true, true, 45, 2000, 6000, 60, 200 },
    { "postings", "/certificates", false, false, 15, 50, 100, 0, 0 },
    { "reads", "/lookups", false, true, 60, 10, 30, 0, 0 },
  };
  workload.mTenants = {
    { "riga", 45 },     { "liepaja", 25 }, { "jelgava", 15 },
    { "valmiera", 10 }, { "cesis", 5 },
  };
  return workload;
}

} // namespace

double
Workload::Allowance(const Tenant& aTenant) const
{
  double tokens = 0;
  for (const CallClass& it : mClasses) {
    tokens += it.mPerSecond * MeanCost(it);
  }
  return tokens * mAllowanceHeadroom * aTenant.mWeight / TotalWeight(*this);
}

std::vector<PlannedCall>
PlanCalls(const Workload& aWorkload, Duration aLength, std::uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<PlannedCall> calls;
  for (std::size_t tenant = 0; tenant < aWorkload.mTenants.size(); ++tenant) {
    for (std::size_t n = 0; n < aWorkload.mClasses.size(); ++n) {
      PlanClass(aWorkload, tenant, n, aLength, random, calls);
    }
  }
  std::sort(calls.begin(),
            calls.end(),
            [](const PlannedCall& aLeft, const PlannedCall& aRight) {
              return aLeft.mAt < aRight.mAt;
            });
  for (std::size_t n = 0; n < calls.size(); ++n) {
    PlannedCall& call = calls[n];
    FillCall(aWorkload, call, random);
    if (!aWorkload.mClasses[call.mClass].mIdempotent) {
      call.mIdempotencyKey =
        "perf-" + std::to_string(aSeed) + "-" + std::to_string(n);
    }
  }
  MarkWithinRate(aWorkload, calls);
  return calls;
}

std::optional<Workload>
FindWorkload(const std::string& aName)
{
  for (Workload& it : std::vector<Workload>{ Association(), Daugava() }) {
    if (it.mName == aName) {
      return std::move(it);
    }
  }
  return std::nullopt;
}

std::string
WorkloadEdits(const Workload& aWorkload)
{
  nlohmann::json edits = nlohmann::json::array();
  for (const Tenant& it : aWorkload.mTenants) {
    const double rate = aWorkload.Allowance(it);
    const nlohmann::json item = { { "rate_tokens_per_second", rate },
                                  { "burst_tokens",
                                    rate * aWorkload.mBurstSeconds },
                                  { "pools", { "pre", "dec", "registry" } } };
    edits.push_back(
      { { "kind", "workspace" }, { "name", it.mWorkspace }, { "json", item } });
  }
  return edits.dump();
}

} // namespace peridothoist::perf
