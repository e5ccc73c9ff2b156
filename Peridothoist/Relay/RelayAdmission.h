/// Admits or refuses requests by the configuration view, the caller's key, the
/// workspace's allowance and the route, and checks the view and the key again
/// immediately before the bytes of a call are sent.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/MembershipTable.h>
#include <Peridothoist/Relay/RelayStateMachine.h>
#include <Peridothoist/Relay/WorkspaceRateLimiter.h>

namespace peridothoist {

/// Assumed total wait of a caller that states none, for computing retry delays.
constexpr Duration kDefaultCallerTimeout = 10s;

/// A caller's request before admission, as its head states it.
struct IncomingRequest
{
  /// The caller's own request id, for logs and the selection of the service.
  std::string mName;
  std::string mHost;   ///< Lower case, without a port.
  std::string mPath;   ///< As sent, without the query.
  std::string mKey;    ///< Empty: none.
  std::string mDigest; ///< Of method, target and body.
  std::optional<std::uint64_t> mPromptTokens;
  std::uint64_t mOutputTokens = 0; ///< Maximum number of output tokens.
  /// Ids of the parts of its prompt that other requests may share.
  std::vector<std::string> mSharedPromptParts;
  /// All parts of its prompt as stated; empty: not stated.
  std::string mPromptParts;
  /// Number of output tokens that the caller expects.
  std::optional<std::uint64_t> mExpectedTokens;
  std::optional<Duration> mCallerTimeout; ///< Total time that the caller waits.
  std::uint64_t mLastEventId = 0; ///< Last event the caller already has.
  /// Id of the caller's attempt that received the stream's first event; empty:
  /// not stated.
  std::string mResumedRequest;
};

/// Decides whether requests are admitted.
class RelayAdmission : public RelayPolicy
{
public:
  /// None of the pointers is owned.
  RelayAdmission(const ConfirmedView* aView,
                 WorkspaceRateLimiter* aRateLimiter,
                 Random* aRandom);

  /// Returns the admitted request, after charging its allowance; or nullopt,
  /// with the reason in aRefusal.
  std::optional<AdmittedRequest> Admit(std::uint64_t aId,
                                       const IncomingRequest& aRequest,
                                       TimePoint aNow,
                                       Refusal* aRefusal);

  /// Returns a request that may be admitted, without charging its allowance; or
  /// nullopt, with the reason in aRefusal. aArrivedAt: its arrival, from which
  /// its deadline counts.
  std::optional<AdmittedRequest> Prepare(std::uint64_t aId,
                                         const IncomingRequest& aRequest,
                                         TimePoint aArrivedAt,
                                         TimePoint aNow,
                                         Refusal* aRefusal);

  /// Charges the allowance of a prepared request and returns nullopt, or
  /// returns how long until the tokens are available.
  std::optional<Duration> Charge(const AdmittedRequest& aRequest,
                                 TimePoint aNow);

  /// Returns the refusal of a prepared request whose tokens are available after
  /// aWait.
  Refusal RefuseOverAllowance(const AdmittedRequest& aRequest, Duration aWait);

  /// Returns what a request costs its workspace's allowance.
  static double CostOf(const RelayWorkspace& aWorkspace,
                       const IncomingRequest& aRequest);

  /// Returns what this VM can serve to new callers now.
  ServingState CurrentServingState(TimePoint aNow) const;

  // See: RelayPolicy
  std::optional<RefusalKind> CheckRelay(const AdmittedRequest& aRequest,
                                        TimePoint aNow) override;
  void Refund(const AdmittedRequest& aRequest, TimePoint aNow) override;

private:
  const ConfirmedView* mView;
  WorkspaceRateLimiter* mRateLimiter;
  Random* mRandom;
};

} // namespace peridothoist
