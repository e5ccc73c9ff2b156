/// The VMs of the system as this one knows them: those that are registered,
/// and what each said of itself when it was last heard.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/LoadBoard.h>
#include <Peridothoist/Relay/UsageLedger.h>

#include <set>

namespace peridothoist {

/// A digest that was present at upstream crashes.
struct CrashNews
{
  std::string mDigest;
  std::uint32_t mCrashes = 0;
  bool mQuarantined = false;
  Duration mLasts{ 0 }; ///< From now on.
};

/// At most aMost of them for one message: half by most crashes, the others in
/// turn, so that each is told within a few messages. aTurn goes up by one with
/// each message.
std::vector<CrashNews>
ChooseCrashNews(std::vector<CrashNews> aAll,
                std::size_t aMost,
                std::uint64_t aTurn);

/// What a VM can serve to new callers.
enum class ServingState
{
  Nothing,    ///< It starts or leaves, or knows no configuration.
  OpenRoutes, ///< Only routes that need no key: its view is too old.
  Everything
};

const char*
ToName(ServingState aState);

/// What a VM tells the others about itself.
struct VmNews
{
  std::string mVm;             ///< Its name.
  std::string mInstance;       ///< New with each start of its process.
  std::uint64_t mSequence = 0; ///< Goes up with each message of an instance.
  std::string mCallerAddress;  ///< Where callers connect, "ip:port".
  std::string mPeerAddress;    ///< Where it hears the others, "ip:port".
  ServingState mServing = ServingState::Nothing;
  bool mLeaving = false;  ///< It stops soon.
  GrantedTokens mGranted; ///< Net, since the instance started.
  WaitingRequests mWaiting;
  WorkByUpstream mWork;           ///< Its open requests.
  std::vector<std::string> mGone; ///< Upstreams that it found gone.
  CountsByUpstream mFailing;      ///< Upstreams that fail its calls.
  std::vector<CrashNews> mCrashes;
  std::vector<std::string> mPeers; ///< Peer addresses that it knows.
};

/// Settings of a MemberBook.
struct MemberBookSettings
{
  Duration mSilence = 1200ms; ///< A VM that is silent for longer isn't heard.
};

/// Keeps the members.
class MemberBook
{
public:
  using Settings = MemberBookSettings;

  MemberBook(const Settings& aSettings, std::string aSelf);

  /// Takes another time of silence.
  void SetSilence(Duration aSilence) { mSettings.mSilence = aSilence; }

  /// Takes a message. False when it is old, or this VM's own.
  bool OnNews(VmNews aNews, TimePoint aNow);

  /// The names that are registered, read as a whole.
  void SetRegistered(const std::set<std::string>& aNames, TimePoint aNow);

  /// Heard within the settings' time.
  bool IsHeard(const std::string& aVm, TimePoint aNow) const;

  /// VMs that share limits: registered or heard, this one included.
  std::size_t Count(TimePoint aNow) const;

  /// The part of all VMs that this one hears, itself included.
  double HeardPart(TimePoint aNow) const;

  /// Addresses for callers, this VM's own among them if it serves: VMs that are
  /// heard and serve everything; where there is none, those that serve open
  /// routes. Empty when this VM can't serve everything and hears none of the
  /// others, since these may.
  std::vector<std::string> CallerAddresses(ServingState aOwnState,
                                           const std::string& aOwnAddress,
                                           TimePoint aNow) const;

  /// VMs that were registered for longer than aSilentFor without being heard.
  std::vector<std::string> Vanished(Duration aSilentFor, TimePoint aNow) const;

  /// Where to send this VM's news.
  std::set<std::string> PeerAddresses() const;

  /// The last news of VMs that were heard once, by name.
  struct Member
  {
    VmNews mNews;
    TimePoint mHeardAt;
  };
  const std::map<std::string, Member>& Members() const { return mMembers; }

  /// Drops VMs that were silent for aSilentFor; returns their instances.
  std::vector<std::string> DropSilent(Duration aSilentFor, TimePoint aNow);

private:
  Settings mSettings;
  std::string mSelf;
  std::map<std::string, Member> mMembers;            ///< Without this VM.
  std::map<std::string, TimePoint> mRegisteredSince; ///< First seen so.
};

} // namespace peridothoist
