#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/CrashReports.h>

#include <algorithm>
#include <tuple>

namespace peridothoist {

namespace {

constexpr std::string_view kPromptPartPrefix = "part:";

/// Orders reports by how much other VMs need them, the first most.
bool
IsMoreUrgent(const CrashReport& aOne, const CrashReport& aTwo)
{
  const auto rankOf = [](const CrashReport& aIt) {
    return std::make_tuple(-static_cast<std::ptrdiff_t>(aIt.OpenCrashes()),
                           !IsPromptPartKey(aIt.mContent),
                           aIt.Age(),
                           aIt.mContent);
  };
  return rankOf(aOne) < rankOf(aTwo);
}

} // namespace

std::string
PromptPartKey(const std::string& aService, const std::string& aPart)
{
  return std::string(kPromptPartPrefix) + aService + '/' + aPart;
}

bool
IsPromptPartKey(const std::string& aContent)
{
  return aContent.compare(0, kPromptPartPrefix.size(), kPromptPartPrefix) == 0;
}

std::size_t
CrashReport::OpenCrashes() const
{
  return static_cast<std::size_t>(std::count_if(
    mSightings.begin(), mSightings.end(), [](const ReportedSighting& aIt) {
      return !aIt.mIsExcused;
    }));
}

Duration
CrashReport::Age() const
{
  Duration age = Duration::max();
  for (const ReportedSighting& it : mSightings) {
    age = std::min(age, it.mAge);
  }
  return age;
}

std::vector<CrashReport>
SelectCrashReports(std::vector<CrashReport> aAll,
                   std::size_t aMaxReports,
                   std::uint64_t aMessageNumber)
{
  if (aAll.size() <= aMaxReports) {
    return aAll;
  }
  std::sort(aAll.begin(), aAll.end(), &IsMoreUrgent);
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

} // namespace peridothoist
