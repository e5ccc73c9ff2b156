/// Workloads of benchmarks: tenants with weights, classes of request with
/// sizes, and a plan of calls generated from a seed. Does no input or output.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

namespace peridothoist::perf {

/// A class of request.
struct CallClass
{
  std::string mName;
  std::string mPath;
  bool mIsStream = false;             ///< A streamed completion.
  bool mIsIdempotent = true;          ///< If not, it has an idempotency key.
  double mPerSecond = 0;              ///< Calls per second of all tenants.
  std::uint32_t mMinPromptTokens = 0; ///< In a plain body: bytes / 4.
  std::uint32_t mMaxPromptTokens = 0;
  std::uint32_t mMinResponseTokens = 0; ///< Zero if not streamed.
  std::uint32_t mMaxResponseTokens = 0;
};

/// A tenant, which sends under one workspace.
struct Tenant
{
  std::string mWorkspace;
  double mWeight = 1;         ///< Its share of the rate of each class.
  double mRateMultiplier = 1; ///< Factor for its rate, not its allowance.
};

/// A workload.
struct Workload
{
  std::string mName;
  std::vector<CallClass> mClasses;
  std::vector<Tenant> mTenants;
  double mAllowanceHeadroom = 1.5;     ///< Allowance / planned token rate.
  double mBurstSeconds = 5;            ///< Burst in seconds of the allowance.
  std::uint32_t mDocuments = 8;        ///< Shared prompt prefixes per tenant.
  std::uint32_t mDocumentTokens = 300; ///< Length of a shared prefix.

  /// Returns the allowance of a tenant in tokens per second.
  double Allowance(const Tenant& aTenant) const;
};

/// One call to send.
struct PlannedCall
{
  Duration mSendTime{};    ///< Time since the start of the run.
  std::size_t mTenant = 0; ///< Index into Workload::mTenants.
  std::size_t mClass = 0;  ///< Index into Workload::mClasses.
  std::string mBody;
  std::string mPrompt; ///< Determines the expected tokens.
  std::uint32_t mResponseTokens = 0;
  double mCost = 0; ///< Tokens charged to the allowance.
  std::string mIdempotencyKey;
  bool mIsWithinRate = true; ///< The allowance covers it.
};

/// Generates the calls of a run of aLength from a seed. Arrivals are a Poisson
/// process for each tenant and class.
std::vector<PlannedCall>
PlanCalls(const Workload& aWorkload, Duration aLength, std::uint64_t aSeed);

/// Returns the workload of a user, scaled to the engines of one machine:
/// "association" or "daugava". Returns nullopt for other names.
std::optional<Workload>
FindWorkload(const std::string& aName);

/// Returns the configuration that the workload needs, as a JSON list of edits.
std::string
WorkloadEdits(const Workload& aWorkload);

} // namespace peridothoist::perf
