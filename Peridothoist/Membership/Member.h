/// One VM as the members of the system tell each other about it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/View/ViewStamp.h>

namespace peridothoist {

/// Whether a VM takes new work.
enum class MemberState
{
  Live,
  Leaving
};

/// The name of a state, and back.
const char*
ToName(MemberState aState);
std::optional<MemberState>
MemberStateFromName(std::string_view aName);

/// One VM. Ages are spans, never points in time: what was received is added
/// to on the way and never reset.
struct Member
{
  std::string mVm; ///< Name, as the platform lists it.
  std::string mZone;
  std::string mEntryAddress; ///< Where callers connect, "ip:port".
  std::string mEntryPeer;    ///< gRPC of the entry process, "ip:port".
  std::string mControlPeer;  ///< gRPC of the control process, "ip:port".
  MemberState mState = MemberState::Live;
  std::string mEntryInstance;   ///< New with each start of the entry process.
  std::string mControlInstance; ///< New with each start of the control process.

  /// Since the VM itself was last heard; empty: nobody ever heard it.
  std::optional<Duration> mAge;
  Duration mKnownFor{ 0 };   ///< Since anyone first knew this VM.
  Duration mRunningFor{ 0 }; ///< Since its control process started, at least.

  // What the VM said of itself when last heard.
  ViewStamp mStamp;
  std::uint64_t mEntryVersion = 0; ///< View version of its entry process.
  bool mPlatformUnreachable = false;
  bool mCommitInDoubt = false;
};

} // namespace peridothoist
