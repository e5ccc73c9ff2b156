/// Identifies the state of the platform that a view holds, by the
/// configuration's version and the share plan's epoch. Neither ever decreases.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A version of the configuration and an epoch of the share plan.
struct ViewStamp
{
  std::uint64_t mVersion = 0;
  std::uint64_t mPlanEpoch = 0;

  /// Returns whether this state includes everything in aOther.
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
