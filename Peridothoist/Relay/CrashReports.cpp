#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashReports.h>

#include <algorithm>

namespace peridothoist {

std::vector<CrashReport>
SelectCrashReports(std::vector<CrashReport> aAll,
                   std::size_t aMaxReports,
                   std::uint64_t aMessageNumber)
{
  if (aAll.size() <= aMaxReports) {
    return aAll;
  }
  std::stable_sort(aAll.begin(),
                   aAll.end(),
                   [](const CrashReport& aOne, const CrashReport& aTwo) {
                     return aOne.mCrashes > aTwo.mCrashes;
                   });
  const std::size_t first = aMaxReports / 2;
  const std::size_t rest = aAll.size() - first;
  std::vector<CrashReport> chosen(
    aAll.begin(), aAll.begin() + static_cast<std::ptrdiff_t>(first));
  const std::size_t rotating = aMaxReports - first;
  for (std::size_t n = 0; n < rotating; ++n) {
    chosen.push_back(aAll[first + (aMessageNumber * rotating + n) % rest]);
  }
  return chosen;
}

std::vector<CrashReport>
MakeCrashReports(const SuspectTable& aSuspects, TimePoint aNow)
{
  std::vector<CrashReport> all;
  const auto add = [&](const SuspectSummary& aSummary, bool aQuarantined) {
    all.push_back({ aSummary.mDigest,
                    aSummary.mCrashes,
                    aQuarantined,
                    aSummary.mExpiresAt - aNow });
  };
  for (const SuspectSummary& it : aSuspects.ListQuarantined(aNow)) {
    add(it, true);
  }
  for (const SuspectSummary& it : aSuspects.ListSuspects(aNow)) {
    add(it, false);
  }
  return all;
}

void
ApplyCrashReports(const std::vector<CrashReport>& aReports,
                  SuspectTable& aSuspects,
                  TimePoint aNow)
{
  for (const CrashReport& it : aReports) {
    const TimePoint until = aNow + it.mRemaining;
    if (it.mIsQuarantined) {
      aSuspects.AddQuarantine(it.mDigest, until, aNow);
    } else {
      aSuspects.AddSuspect(it.mDigest, until, aNow, it.mCrashes);
    }
  }
}

} // namespace peridothoist
