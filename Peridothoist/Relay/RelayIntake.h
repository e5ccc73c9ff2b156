/// Admits or refuses requests by the configuration view, the caller's key, the
/// workspace's allowance and the route, and checks the view and the key again
/// right before the bytes of a call are sent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/MemberBook.h>
#include <Peridothoist/Relay/RelayMachine.h>
#include <Peridothoist/Relay/UsageLedger.h>

namespace peridothoist {

/// A caller's request before admission, as its head states it.
struct RelayQuestion
{
  std::string mName;   ///< The caller's own request id, for logs.
  std::string mHost;   ///< Lower case, without a port.
  std::string mPath;   ///< As sent, without the query.
  std::string mKey;    ///< Empty: none.
  std::string mDigest; ///< Of method, target and body.
  std::optional<std::uint64_t> mPromptTokens;
  std::uint64_t mOutputTokens = 0; ///< Maximum number of output tokens.
  /// Number of output tokens that the caller expects.
  std::optional<std::uint64_t> mExpectedTokens;
  std::optional<Duration> mPatience; ///< Total time that the caller waits.
  std::uint64_t mLastEventId = 0;    ///< Last event the caller already has.
};

/// Decides whether requests are admitted.
class RelayIntake : public RelayGate
{
public:
  /// None of the pointers is owned.
  RelayIntake(const ConfirmedView* aView,
              UsageLedger* aLedger,
              Random* aRandom);

  /// Returns the admitted request, after charging its allowance; or nullopt,
  /// with the reason in aRefusal.
  std::optional<RelayArrival> Admit(std::uint64_t aId,
                                    const RelayQuestion& aRequest,
                                    TimePoint aNow,
                                    Refusal* aRefusal);

  /// Returns what a request costs its workspace's allowance.
  static double CostOf(const RelayWorkspace& aWorkspace,
                       const RelayQuestion& aRequest);

  /// Returns what this VM can serve to new callers now.
  ServingState Serving(TimePoint aNow) const;

  // See: RelayGate
  std::optional<RefusalKind> RefusalFor(const RelayArrival& aArrival,
                                        TimePoint aNow) override;
  void Refund(const RelayArrival& aArrival, TimePoint aNow) override;

private:
  const ConfirmedView* mView;
  UsageLedger* mLedger;
  Random* mRandom;
};

} // namespace peridothoist
