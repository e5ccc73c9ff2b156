/// How calls to upstreams ended lately, at this VM and at the others. One VM of
/// a large fleet sends an upstream a call every few seconds; what all of them
/// meet shows within a second which upstreams fail.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Ends of calls to one upstream; older ones count less.
struct CallCounts
{
  double mFailed = 0;
  double mGood = 0;
};

/// Such counts by upstream id, as VMs tell each other.
using CountsByUpstream = std::map<std::string, CallCounts>;

/// Settings of an OutcomeBoard.
struct OutcomeBoardSettings
{
  Duration mHalfLife = 3s; ///< After which an end counts half.
  /// Good calls that are taken to have been before the first.
  double mPrior = 2;
  double mLeastTold = 0.3;   ///< Failures of an upstream that others are told.
  std::size_t mMostTold = 8; ///< Upstreams in one message, the worst first.
  /// A VM that meets failures at more than this part of the upstreams that it
  /// calls has trouble of its own, and tells nobody.
  double mMostFailing = 0.5;
  /// Upstreams below which that part means nothing.
  std::size_t mLeastCalled = 4;
};

/// Keeps the ends of calls.
class OutcomeBoard
{
public:
  using Settings = OutcomeBoardSettings;

  explicit OutcomeBoard(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// A call of this VM ended; aFailed: without an answer, or with an error.
  void OnOutcome(const std::string& aUpstream, bool aFailed, TimePoint aNow);

  /// The upstream is gone or was started anew.
  void Forget(const std::string& aUpstream) { mOwn.erase(aUpstream); }

  /// What another VM met, in place of what it said before.
  void OnPeer(const std::string& aPeer, CountsByUpstream aCounts);
  void ForgetPeer(const std::string& aPeer) { OnPeer(aPeer, {}); }

  /// The upstreams that fail calls of this VM, for the others.
  CountsByUpstream Failing(TimePoint aNow) const;

  /// The part of all VMs' calls that failed lately, 0 to 1.
  double FailureRate(const std::string& aUpstream, TimePoint aNow) const;

private:
  struct Own
  {
    CallCounts mCounts;
    TimePoint mAt; ///< As of which they are.
  };

  CallCounts CountsAt(const Own& aOwn, TimePoint aNow) const;

  Settings mSettings;
  std::map<std::string, Own> mOwn;                ///< By upstream.
  std::map<std::string, CountsByUpstream> mPeers; ///< By peer.
  CountsByUpstream mPeerSums;                     ///< Of mPeers.
};

} // namespace peridothoist
