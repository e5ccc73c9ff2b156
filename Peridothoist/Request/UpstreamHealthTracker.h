/// Tracks whether upstreams are alive: which calls broke, whether a crash was
/// the cause, and which requests were executing there.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/AttemptStateMachine.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Handles failures and load reports of upstreams.
class UpstreamHealthTracker
{
public:
  UpstreamHealthTracker(EntryContext& aContext, AttemptStateMachine& aAttempts)
    : mContext(aContext)
    , mAttempts(aAttempts)
  {
  }

  /// Called when a call with the content of aDigest broke at an upstream.
  void OnCallBroken(const std::string& aUpstream, const std::string& aDigest);

  /// Called when an upstream has reported its load.
  void OnLoadReport(const std::string& aUpstream, const LoadReport& aReport);

  /// Called when an upstream has failed. Returns the digests that are
  /// quarantined because of it.
  std::vector<std::string> OnDead(const std::string& aUpstream,
                                  DeathKind aKind);

  /// Called when an upstream responds again.
  void OnAlive(const std::string& aUpstream);

private:
  /// A call that broke.
  struct BrokenCall
  {
    std::string mDigest;
    TimePoint mAt;
  };

  /// Called when an upstream is known to be running: its broken calls were not
  /// caused by a crash.
  void OnConfirmedAlive(UpstreamState& aUpstream);
  /// Returns the digests that were executing at a crash or whose calls broke
  /// shortly before.
  std::vector<std::string> FindPresentDigests(const UpstreamState& aUpstream);
  /// Ends the attempts at an upstream that has failed.
  void EndAttempts(UpstreamState& aUpstream, bool aCrashed);

  EntryContext& mContext;
  AttemptStateMachine& mAttempts;
  std::map<std::string, std::vector<BrokenCall>> mBrokenCalls; ///< By upstream.
};

} // namespace peridothoist
