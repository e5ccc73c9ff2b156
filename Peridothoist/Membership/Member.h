/// Information about one VM that control processes exchange with each other.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Whether a VM accepts new requests.
enum class MemberState
{
  Live,
  Leaving
};

const char*
ToName(MemberState aState);

/// Returns the state of a name, or nullopt for an unknown name.
std::optional<MemberState>
MemberStateFromName(std::string_view aName);

/// One VM. Ages are sent as durations, never as points in time, because clocks
/// differ between VMs. Each receiver adds the time in transit to an age and
/// never resets it.
struct Member
{
  std::string mVm; ///< Name in the platform's list.
  std::string mZone;
  std::string mEntryAddress; ///< Address for callers, "ip:port".
  std::string mEntryPeer;    ///< gRPC address of the entry process, "ip:port".
  std::string mControlPeer; ///< gRPC address of the control process, "ip:port".
  MemberState mState = MemberState::Live;
  std::string mEntryInstance; ///< Changes with each start of the entry process.
  /// Changes with each start of the control process.
  std::string mControlInstance;

  /// Time since the VM's last report about itself; empty if no VM has ever
  /// received one.
  std::optional<Duration> mReportAge;
  Duration mKnownFor{ 0 }; ///< Time since any VM first knew this VM.
  /// Lower bound of the time since its control process started.
  Duration mRunningFor{ 0 };

  // The VM's last report about itself.
  ViewStamp mStamp;
  std::uint64_t mEntryVersion = 0; ///< Version of its entry process's view.
  bool mPlatformUnreachable = false;
  bool mCommitInDoubt = false;
};

} // namespace peridothoist
