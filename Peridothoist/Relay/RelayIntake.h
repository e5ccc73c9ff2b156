/// Lets relayed requests in or refuses them, by the view, the keys, the
/// allowances and the routes; and looks again right before their bytes leave.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/RelayMachine.h>
#include <Peridothoist/Relay/UsageLedger.h>

namespace peridothoist {

/// What a caller's request says of itself.
struct RelayQuestion
{
  std::string mName;   ///< The caller's own id of the request, for logs.
  std::string mHost;   ///< Lower case, without a port.
  std::string mPath;   ///< As sent, without the query.
  std::string mKey;    ///< Empty: none.
  std::string mDigest; ///< Of method, target and body.
  std::optional<std::uint64_t> mPromptTokens;
  std::uint64_t mOutputTokens = 0; ///< The most that it may generate.
  /// What the caller expects it to generate.
  std::optional<std::uint64_t> mExpectedTokens;
  std::optional<Duration> mPatience; ///< How long the caller waits.
  std::uint64_t mLastEventId = 0;    ///< The caller has events up to this one.
};

/// Decides about arrivals.
class RelayIntake : public RelayGate
{
public:
  /// Nothing is owned.
  RelayIntake(const ConfirmedView* aView,
              UsageLedger* aLedger,
              Random* aRandom);

  /// The arrival, its allowance spent; or nothing, with the refusal.
  std::optional<RelayArrival> Admit(std::uint64_t aId,
                                    const RelayQuestion& aQuestion,
                                    TimePoint aNow,
                                    Refusal* aRefusal);

  /// What a request takes off its workspace's allowance.
  static double CostOf(const RelayWorkspace& aWorkspace,
                       const RelayQuestion& aQuestion);

  /// What this VM can serve to new callers now.
  ServingState Serving(TimePoint aNow) const;

  // See: RelayGate
  std::optional<RefusalKind> MayRelay(const RelayArrival& aArrival,
                                      TimePoint aNow) override;
  void Refund(const RelayArrival& aArrival, TimePoint aNow) override;

private:
  const ConfirmedView* mView;
  UsageLedger* mLedger;
  Random* mRandom;
};

} // namespace peridothoist
