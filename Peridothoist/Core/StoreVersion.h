/// The version of a row, or of all rows, of a store that may be restored from
/// an older copy of itself.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <tuple>

namespace peridothoist {

/// A version of a store's contents. A store that is restored from a copy begins
/// a new era, in which numbers of the former one are given out again for other
/// contents. Versions of different eras are therefore never equal, and one of a
/// later era is later.
struct StoreVersion
{
  /// Increases with each change within an era; 0: none.
  std::uint64_t mNumber = 0;
  std::uint64_t mEra = 0; ///< 0: the store states none.

  bool IsSet() const { return mNumber > 0; }
  bool operator==(const StoreVersion& aOther) const
  {
    return mEra == aOther.mEra && mNumber == aOther.mNumber;
  }
  bool operator!=(const StoreVersion& aOther) const
  {
    return !(*this == aOther);
  }
  bool operator<(const StoreVersion& aOther) const
  {
    return std::tie(mEra, mNumber) < std::tie(aOther.mEra, aOther.mNumber);
  }
};

} // namespace peridothoist
