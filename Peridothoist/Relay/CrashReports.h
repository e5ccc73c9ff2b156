/// What VMs tell each other about the contents of requests that were present
/// when upstreams crashed.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Returns the key of a shared part of prompts as a content. A part may be
/// sound at one service and crash the upstreams of another.
std::string
PromptPartKey(const std::string& aService, const std::string& aPart);

bool
IsPromptPartKey(const std::string& aContent);

/// One crash of an upstream at which a content was present.
struct CrashSighting
{
  std::uint64_t mCrash = 0;     ///< Identifies the process that crashed.
  std::uint64_t mWorkspace = 0; ///< Digest of the requesting workspace's name.
  TimePoint mAt;
  Duration mRunTime{ 0 };  ///< From the start of the call to the crash.
  bool mIsExcused = false; ///< The content ran soundly since.
};

/// A sighting as it is sent, independent of the sender's clock.
struct ReportedSighting
{
  std::uint64_t mCrash = 0;
  std::uint64_t mWorkspace = 0;
  Duration mAge{ 0 }; ///< Time since the crash.
  Duration mRunTime{ 0 };
  bool mIsExcused = false;
};

/// All sightings of one content.
struct CrashReport
{
  std::string mContent;
  std::vector<ReportedSighting> mSightings;

  /// Returns the number of crashes from which the content is not excused.
  std::size_t OpenCrashes() const;
  /// Returns the time since the newest crash.
  Duration Age() const;
};

/// Returns at most aMaxReports reports for the message of this number: those
/// with the most open crashes, of these the ones about prompt parts and the
/// newest, and the others in rotation, so that each is sent within a few
/// messages.
std::vector<CrashReport>
SelectCrashReports(std::vector<CrashReport> aAll,
                   std::size_t aMaxReports,
                   std::uint64_t aMessageNumber);

} // namespace peridothoist
