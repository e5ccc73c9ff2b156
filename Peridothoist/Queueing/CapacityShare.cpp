#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/CapacityShare.h>

#include <algorithm>

namespace peridothoist {

bool
DiffersInPriority(const DemandByLevel& aDemand, std::uint32_t aPriority)
{
  return std::any_of(aDemand.begin(), aDemand.end(), [&](const auto& aIt) {
    return aIt.second.All() > 0 && aIt.first.mPriority != aPriority;
  });
}

std::map<UrgencyLevel, double>
ShareCapacity(double aCapacity, const DemandByLevel& aDemand)
{
  std::map<UrgencyLevel, double> shares;
  double left = std::max(0.0, aCapacity);
  for (const auto& [level, demand] : aDemand) {
    const auto all = static_cast<double>(demand.All());
    const double used = std::min(left, all);
    shares[level] =
      all > 0 ? used * static_cast<double>(demand.mOwn) / all : 0.0;
    left -= used;
  }
  return shares;
}

std::size_t
CountAhead(const DemandByLevel& aDemand,
           const UrgencyLevel& aLevel,
           bool aIsNewestFirst)
{
  std::size_t ahead = 0;
  for (const auto& [level, demand] : aDemand) {
    const bool isBefore = level < aLevel;
    const bool isSame = !isBefore && !(aLevel < level);
    ahead += isBefore || (isSame && !aIsNewestFirst) ? demand.All() : 0;
  }
  return ahead;
}

} // namespace peridothoist
