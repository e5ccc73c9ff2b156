/// A value whose changes become visible to readers after a delay.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <deque>

namespace peridothoist::standin {

/// Stores the recent changes of a value and returns it with a fixed lag.
template<class T>
class LaggedValue
{
public:
  explicit LaggedValue(Duration aLag, T aInitial = T())
    : mLag(aLag)
    , mVisible(std::move(aInitial))
  {
  }

  /// Sets the value as of aNow. Times must not decrease between calls.
  void Set(TimePoint aNow, T aValue)
  {
    PublishDue(aNow);
    mPending.push_back({ aNow, std::move(aValue) });
  }

  /// Returns the value as it was one lag before aNow.
  const T& Get(TimePoint aNow)
  {
    PublishDue(aNow);
    return mVisible;
  }

  /// Returns the value that was set last.
  const T& Latest() const
  {
    return mPending.empty() ? mVisible : mPending.back().mValue;
  }

private:
  /// A value and the time when it was set.
  struct Entry
  {
    TimePoint mSetAt;
    T mValue;
  };

  /// Makes the values visible whose lag has passed.
  void PublishDue(TimePoint aNow)
  {
    while (!mPending.empty() && mPending.front().mSetAt + mLag <= aNow) {
      mVisible = std::move(mPending.front().mValue);
      mPending.pop_front();
    }
  }

  Duration mLag;
  T mVisible;                 ///< The value that readers get.
  std::deque<Entry> mPending; ///< Not yet visible, oldest first.
};

} // namespace peridothoist::standin
