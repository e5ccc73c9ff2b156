/// How fast a pool takes queued work, observed while work waits.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Times of the observation.
struct ServiceRateSettings
{
  Duration mWindow = 5s;       ///< Older observations fade over this time.
  Duration mLeastBusy = 500ms; ///< No rate is given for less busy time.
};

/// A fading average of cost taken for each second with a backlog.
class ServiceRate
{
public:
  using Settings = ServiceRateSettings;

  explicit ServiceRate(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Notes whether work waits from aNow on.
  void SetBusy(bool aBusy, TimePoint aNow);

  /// Notes that work of this cost was taken.
  void OnTaken(double aCost, TimePoint aNow);

  /// Cost a second; nothing as long as too little was seen.
  std::optional<double> Get() const;

  /// Notes the time from a request's start to its first byte.
  void OnFirstByte(Duration aTook);

  /// Usual time from start to first byte; 0 when none was seen.
  Duration FirstByteTime() const { return Duration(std::int64_t(mFirstByte)); }

private:
  void Advance(TimePoint aNow);

  Settings mSettings;
  bool mBusy = false;
  TimePoint mLast;
  double mCost = 0;        ///< Fading sum.
  double mBusySeconds = 0; ///< Fading sum.
  double mFirstByte = 0;   ///< Fading average, in microseconds.
};

} // namespace peridothoist
