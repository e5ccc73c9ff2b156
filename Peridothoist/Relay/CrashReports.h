/// Reports about requests that were present at crashes of upstreams, as VMs
/// send them to each other.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Routing/SuspectTable.h>

namespace peridothoist {

/// Reports that a request, named by its digest, was present at upstream
/// crashes.
struct CrashReport
{
  std::string mDigest;
  std::uint32_t mCrashes = 0; ///< Crashes at which it was present.
  bool mIsQuarantined = false;
  Duration mRemaining{ 0 }; ///< Remaining lifetime of the report.
};

/// Returns at most aMaxReports reports for one message: half of them those with
/// the most crashes, the others in rotation, so that each is sent within a few
/// messages. aMessageNumber goes up by one with each message.
std::vector<CrashReport>
SelectCrashReports(std::vector<CrashReport> aAll,
                   std::size_t aMaxReports,
                   std::uint64_t aMessageNumber);

/// Returns a report for each suspect and each quarantined request.
std::vector<CrashReport>
MakeCrashReports(const SuspectTable& aSuspects, TimePoint aNow);

/// Adds what a peer reported.
void
ApplyCrashReports(const std::vector<CrashReport>& aReports,
                  SuspectTable& aSuspects,
                  TimePoint aNow);

} // namespace peridothoist
