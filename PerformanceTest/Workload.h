/// What callers send: tenants with weights, classes of request with sizes,
/// and a plan of arrivals drawn from a seed. No input or output.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

namespace peridothoist::perf {

/// One class of request.
struct CallClass
{
  std::string mName;
  std::string mPath;
  bool mStream = false;         ///< A completion that is streamed.
  bool mIdempotent = true;      ///< Else it carries an idempotency key.
  double mPerSecond = 0;        ///< Over all tenants.
  std::uint32_t mMinPrompt = 0; ///< Prompt tokens, or body bytes / 4.
  std::uint32_t mMaxPrompt = 0;
  std::uint32_t mMinAnswer = 0; ///< Tokens of the answer.
  std::uint32_t mMaxAnswer = 0;
};

/// One tenant.
struct Tenant
{
  std::string mWorkspace;
  double mWeight = 1; ///< Its share of each class's rate.
  double mExcess = 1; ///< Multiplies its rate, but not its allowance.
};

/// A whole workload.
struct Workload
{
  std::string mName;
  std::vector<CallClass> mClasses;
  std::vector<Tenant> mTenants;
  double mAllowanceHeadroom = 1.5;     ///< Allowance over the rate in tokens.
  double mBurstSeconds = 5;            ///< Burst, in seconds of the allowance.
  std::uint32_t mDocuments = 8;        ///< Common prompt starts of each tenant.
  std::uint32_t mDocumentTokens = 300; ///< Length of a common start.

  /// A tenant's allowance in tokens a second.
  double Allowance(const Tenant& aTenant) const;
};

/// One call to make.
struct PlannedCall
{
  Duration mAt{};          ///< Since the start of the run.
  std::size_t mTenant = 0; ///< Index into Workload::mTenants.
  std::size_t mClass = 0;  ///< Index into Workload::mClasses.
  std::string mBody;
  std::string mPrompt; ///< Of a completion: what the answer is made of.
  std::uint32_t mAnswerTokens = 0;
  double mCost = 0; ///< Tokens that count against the allowance.
  std::string mIdempotencyKey;
  bool mWithinRate = true; ///< The tenant's allowance covers it.
};

/// Draws the arrivals of aLength from a seed: Poisson for each tenant and
/// class.
std::vector<PlannedCall>
PlanCalls(const Workload& aWorkload, Duration aLength, std::uint64_t aSeed);

/// The workloads of our users, scaled to the engines of one machine. Null
/// when there is none of that name ("association" or "daugava").
std::optional<Workload>
FindWorkload(const std::string& aName);

/// Configuration items that the workload needs, as a JSON list of edits.
std::string
WorkloadEdits(const Workload& aWorkload);

} // namespace peridothoist::perf
