/// Which state of the platform a view holds: the configuration's version and
/// the share plan's epoch. Each only goes up.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Version of the configuration and epoch of the share plan, seen together.
struct ViewStamp
{
  std::uint64_t mVersion = 0;
  std::uint64_t mPlanEpoch = 0;

  /// Whether this holds everything that aOther holds.
  bool Covers(const ViewStamp& aOther) const
  {
    return mVersion >= aOther.mVersion && mPlanEpoch >= aOther.mPlanEpoch;
  }

  bool operator==(const ViewStamp& aOther) const
  {
    return mVersion == aOther.mVersion && mPlanEpoch == aOther.mPlanEpoch;
  }
};

} // namespace peridothoist
