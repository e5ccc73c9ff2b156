/// Defines the workloads and generates their calls.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Workload.h>

#include <algorithm>
#include <numeric>

#include <nlohmann/json.hpp>

namespace peridothoist::perf {

namespace {

constexpr std::size_t kBytesPerToken = 4;

double
MeanTokens(const CallClass& aClass)
{
  const double prompt =
    (aClass.mMinPromptTokens + aClass.mMaxPromptTokens) / 2.0;
  const double response =
    (aClass.mMinResponseTokens + aClass.mMaxResponseTokens) / 2.0;
  return prompt + response;
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
UniformBetween(Random& aRandom, std::uint32_t aLow, std::uint32_t aHigh)
{
  return aLow +
         static_cast<std::uint32_t>(aRandom.UniformBelow(aHigh - aLow + 1));
}

/// Returns a prompt of some tokens: a prefix that it shares with other calls,
/// then random numbers.
std::string
MakePrompt(const Workload& aWorkload,
           const PlannedCall& aCall,
           std::uint32_t aTokens,
           Random& aRandom)
{
  const std::uint64_t document = aRandom.UniformBelow(aWorkload.mDocuments);
  const std::string prefix = "document " + std::to_string(document) + " of " +
                             aWorkload.mTenants[aCall.mTenant].mWorkspace + " ";
  const std::size_t bytes = aTokens * kBytesPerToken;
  const std::size_t prefixBytes =
    std::min<std::size_t>(bytes, aWorkload.mDocumentTokens * kBytesPerToken);
  std::string text;
  while (text.size() < prefixBytes) {
    text += prefix;
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
    UniformBetween(aRandom, kind.mMinPromptTokens, kind.mMaxPromptTokens);
  aCall.mPrompt = MakePrompt(aWorkload, aCall, prompt, aRandom);
  aCall.mCost = prompt;
  if (!kind.mIsStream) {
    aCall.mBody = aCall.mPrompt;
    return;
  }
  aCall.mResponseTokens =
    UniformBetween(aRandom, kind.mMinResponseTokens, kind.mMaxResponseTokens);
  aCall.mCost += aCall.mResponseTokens;
  aCall.mBody = nlohmann::json{
    { "model", "m1" },
    { "prompt", aCall.mPrompt },
    { "max_tokens", aCall.mResponseTokens },
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
                      tenant.mRateMultiplier / TotalWeight(aWorkload);
  const double end = std::chrono::duration<double>(aLength).count();
  double at = aRandom.Exponential(1.0 / rate);
  while (at < end) {
    PlannedCall call;
    call.mSendTime = Duration(static_cast<Duration::rep>(at * 1e6));
    call.mTenant = aTenant;
    call.mClass = aClass;
    aCalls.push_back(std::move(call));
    at += aRandom.Exponential(1.0 / rate);
  }
}

/// Marks the calls that the allowance of their tenant covers, as a single token
/// bucket for all VMs would decide.
void
MarkCallsWithinRate(const Workload& aWorkload, std::vector<PlannedCall>& aCalls)
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
    const std::chrono::duration<double> gap = it.mSendTime - bucket.mLast;
    bucket.mTokens = std::min(rate * aWorkload.mBurstSeconds,
                              bucket.mTokens + rate * gap.count());
    bucket.mLast = it.mSendTime;
    it.mIsWithinRate = bucket.mTokens >= it.mCost;
    if (it.mIsWithinRate) {
      bucket.mTokens -= it.mCost;
    }
  }
}

Workload
AssociationWorkload()
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
DaugavaWorkload()
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
    tokens += it.mPerSecond * MeanTokens(it);
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
              return aLeft.mSendTime < aRight.mSendTime;
            });
  for (std::size_t n = 0; n < calls.size(); ++n) {
    PlannedCall& call = calls[n];
    FillCall(aWorkload, call, random);
    if (!aWorkload.mClasses[call.mClass].mIsIdempotent) {
      call.mIdempotencyKey =
        "perf-" + std::to_string(aSeed) + "-" + std::to_string(n);
    }
  }
  MarkCallsWithinRate(aWorkload, calls);
  return calls;
}

std::optional<Workload>
FindWorkload(const std::string& aName)
{
  for (Workload& it :
       std::vector<Workload>{ AssociationWorkload(), DaugavaWorkload() }) {
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
