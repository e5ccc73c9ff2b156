/// What is known of upstreams' load: requests that this VM has there, those
/// that other VMs say they have, what the upstream itself said last, and which
/// upstreams failed a moment ago.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/OutcomeBoard.h>

namespace peridothoist {

/// Work at one upstream.
struct UpstreamWork
{
  std::uint32_t mRequests = 0;
  std::uint64_t mTokens = 0; ///< KV memory that the requests need, in tokens.

  UpstreamWork& operator+=(const UpstreamWork& aOther)
  {
    mRequests += aOther.mRequests;
    mTokens += aOther.mTokens;
    return *this;
  }
  UpstreamWork& operator-=(const UpstreamWork& aOther)
  {
    mRequests -= aOther.mRequests;
    mTokens -= aOther.mTokens;
    return *this;
  }
};

/// Work by upstream id, as VMs tell each other. Upstreams without work are
/// left out.
using WorkByUpstream = std::map<std::string, UpstreamWork>;

/// An upstream's own word on its load.
struct StatedLoad
{
  std::uint32_t mRunning = 0;
  std::uint32_t mWaiting = 0;
  std::uint32_t mSlots = 0; ///< 0: not stated.
};

/// Requests that wait for room at a VM.
struct WaitingRequests
{
  std::size_t mInTime = 0; ///< They can still be in time.
  std::size_t mLate = 0;

  std::size_t All() const { return mInTime + mLate; }
};

/// Settings of a LoadBoard.
struct LoadBoardSettings
{
  Duration mStatedHolds = 600ms;    ///< A stated load means something so long.
  Duration mFirstAvoidance = 500ms; ///< After one failure; doubles with each.
  Duration mLongestAvoidance = 4s;
  /// After one whose process was found gone; it mostly comes back under
  /// another id.
  Duration mGoneAvoidance = 3s;
  Duration mPeerAvoidance = 1s; ///< After a peer's word of such a one.
  /// An upstream that fails more than this part of calls is avoided.
  double mMostFailures = 0.35;
  OutcomeBoardSettings mOutcomes;
};

/// Keeps the load of all upstreams.
class LoadBoard
{
public:
  using Settings = LoadBoardSettings;

  explicit LoadBoard(const Settings& aSettings)
    : mSettings(aSettings)
    , mOutcomes(aSettings.mOutcomes)
  {
  }

  // This VM's requests.
  void OnSent(const std::string& aUpstream, std::uint64_t aTokens);
  /// A request there took more memory.
  void OnGrown(const std::string& aUpstream, std::uint64_t aTokens);
  /// A request is over; aTokens: all that it had taken.
  void OnDone(const std::string& aUpstream, std::uint64_t aTokens);

  /// The upstream stated its load in an answer.
  void OnStated(const std::string& aUpstream,
                const StatedLoad& aLoad,
                TimePoint aNow);

  /// Another VM's work, in place of what it said before.
  void OnPeerWork(const std::string& aPeer, WorkByUpstream aWork);
  /// How old what other VMs say may be.
  void SetNewsAge(Duration aAge) { mNewsAge = aAge; }
  double NewsAgeSeconds() const
  {
    return std::chrono::duration<double>(mNewsAge).count();
  }
  /// What another VM keeps waiting for room.
  void OnPeerWaiting(const std::string& aPeer, const WaitingRequests& aWaiting)
  {
    mPeersWaiting[aPeer] = aWaiting;
  }
  WaitingRequests PeersWaiting() const;
  void ForgetPeer(const std::string& aPeer);

  /// The upstream could not be reached, or broke a call.
  void OnFailure(const std::string& aUpstream, TimePoint aNow);
  /// It has no room for the moment.
  void OnFull(const std::string& aUpstream,
              Duration aAvoidance,
              TimePoint aNow);
  /// Nothing listens there, or another process does.
  void OnGone(const std::string& aUpstream, TimePoint aNow);
  /// Upstreams that another VM found gone.
  void OnPeerFoundGone(const std::vector<std::string>& aUpstreams,
                       TimePoint aNow);
  /// Upstreams that this VM found gone, for the others.
  std::vector<std::string> FoundGone(TimePoint aNow) const;
  /// It answered.
  void OnSuccess(const std::string& aUpstream);
  /// It is gone or was started anew: what was known means nothing any more.
  void Forget(const std::string& aUpstream);

  /// How calls ended.
  OutcomeBoard& Outcomes() { return mOutcomes; }
  const OutcomeBoard& Outcomes() const { return mOutcomes; }

  bool IsAvoided(const std::string& aUpstream, TimePoint aNow) const;

  /// Work there of all VMs.
  UpstreamWork Work(const std::string& aUpstream) const;

  /// Requests that the upstream stated beyond those that are known of.
  std::uint32_t StatedBeyond(const std::string& aUpstream,
                             TimePoint aNow) const;

  /// Goes up when this VM's work at engines changes.
  std::uint64_t Revision() const { return mRevision; }

  /// This VM's work, for the others.
  const WorkByUpstream& Own() const { return mOwn; }

private:
  struct Failures
  {
    std::uint32_t mInRow = 0;
    TimePoint mAvoidUntil;
    TimePoint mGoneUntil; ///< This VM found it gone.
  };
  struct Stated
  {
    StatedLoad mLoad;
    TimePoint mAt;
  };

  Settings mSettings;
  WorkByUpstream mOwn;
  std::uint64_t mRevision = 0;
  Duration mNewsAge{ 0 };
  std::map<std::string, WorkByUpstream> mPeers;         ///< By peer.
  WorkByUpstream mPeerSums;                             ///< Of mPeers.
  std::map<std::string, WaitingRequests> mPeersWaiting; ///< By peer.
  std::map<std::string, Stated> mStated;
  std::map<std::string, Failures> mFailures;
  OutcomeBoard mOutcomes;
};

} // namespace peridothoist
