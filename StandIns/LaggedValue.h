/// A value that readers see as it was some time ago.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <deque>

namespace peridothoist::standin {

/// Holds a value's recent history and reads it with a fixed lag.
template<class T>
class LaggedValue
{
public:
  explicit LaggedValue(Duration aLag, T aInitial = T())
    : mLag(aLag)
    , mOldest(std::move(aInitial))
  {
  }

  /// Sets the value as of aNow. Times must not go back.
  void Set(TimePoint aNow, T aValue)
  {
    Settle(aNow);
    mPending.push_back({ aNow, std::move(aValue) });
  }

  /// The value as it was one lag before aNow.
  const T& Get(TimePoint aNow)
  {
    Settle(aNow);
    return mOldest;
  }

  /// The value as set last.
  const T& Latest() const
  {
    return mPending.empty() ? mOldest : mPending.back().mValue;
  }

private:
  /// A value and when it was set.
  struct Entry
  {
    TimePoint mSince;
    T mValue;
  };

  void Settle(TimePoint aNow)
  {
    while (!mPending.empty() && mPending.front().mSince + mLag <= aNow) {
      mOldest = std::move(mPending.front().mValue);
      mPending.pop_front();
    }
  }

  Duration mLag;
  T mOldest;                  ///< What readers see.
  std::deque<Entry> mPending; ///< Not yet visible, oldest first.
};

} // namespace peridothoist::standin
