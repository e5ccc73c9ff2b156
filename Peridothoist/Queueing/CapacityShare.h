/// Divides the free capacity of a service between the requests that wait for it
/// at all VMs. All VMs see the same free capacity at about the same time, so
/// each may use its own part only: level by level, the most urgent first, and
/// within a level in proportion to the requests that it has waiting there.
///
/// What requests of a more urgent level at other VMs are going to use is left
/// to them, so that an urgent request does not wait at one VM while less urgent
/// ones start at another.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// The urgency of a waiting request. Those that can still meet their target
/// latency go before those that can't, and then the higher priority goes first:
/// a late response is worth little, whatever its priority.
struct UrgencyLevel
{
  bool mIsLate = false;
  std::uint32_t mPriority = 0; ///< 0 is the highest.

  bool operator<(const UrgencyLevel& aOther) const
  {
    return mIsLate != aOther.mIsLate ? !mIsLate : mPriority < aOther.mPriority;
  }
};

/// Requests of one level that wait.
struct LevelDemand
{
  std::size_t mOwn = 0;    ///< At this VM.
  std::size_t mOthers = 0; ///< At all others, as last reported.

  std::size_t All() const { return mOwn + mOthers; }
};

/// The demand for a service, the most urgent level first.
using DemandByLevel = std::map<UrgencyLevel, LevelDemand>;

/// Returns whether the requests that wait, and one of aPriority, are not all of
/// one priority.
bool
DiffersInPriority(const DemandByLevel& aDemand, std::uint32_t aPriority);

/// Returns how many requests of each level this VM may start, as a fractional
/// number, when aCapacity more requests fit.
std::map<UrgencyLevel, double>
ShareCapacity(double aCapacity, const DemandByLevel& aDemand);

/// Returns the number of requests that go before a new request of aLevel: those
/// of more urgent levels and, unless aIsNewestFirst, those of its own.
std::size_t
CountAhead(const DemandByLevel& aDemand,
           const UrgencyLevel& aLevel,
           bool aIsNewestFirst);

} // namespace peridothoist
