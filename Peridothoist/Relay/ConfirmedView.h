/// How old this VM's knowledge of the configuration is, and what may be served
/// on it. A key that was withdrawn must stop working everywhere within a
/// bound, also at a VM that can't hear of it, so requests with keys are served
/// only while the configuration was confirmed recently enough.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

namespace peridothoist {

/// Bounds of a ConfirmedView.
struct ConfirmedViewSettings
{
  /// A withdrawn key works no longer than this after the withdrawal.
  Duration mRevokeLimit = 5s;
  /// Part of mRevokeLimit that is left for bytes on their way and clocks.
  Duration mMargin = 700ms;
  /// Without a confirmation for this part of mRevokeLimit, callers are sent
  /// to other VMs, before this one has to refuse them.
  double mWelcomePart = 0.5;
};

/// Holds the newest configuration and when it was last confirmed.
///
/// Invariants: the version never goes down; the confirmation is the beginning
/// of a read, so that whatever was acknowledged before it is known.
class ConfirmedView
{
public:
  using Settings = ConfirmedViewSettings;

  explicit ConfirmedView(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Takes other bounds.
  void SetSettings(const Settings& aSettings) { mSettings = aSettings; }

  /// A read that began at aBegan gave aConfiguration. True when it is newer
  /// than what was known. An older one confirms nothing and is dropped.
  bool OnRead(std::shared_ptr<const RelayConfiguration> aConfiguration,
              TimePoint aBegan)
  {
    if (mConfiguration != nullptr &&
        aConfiguration->mVersion < mConfiguration->mVersion) {
      return false;
    }
    mConfirmedAt = std::max(mConfirmedAt, aBegan);
    const bool newer = mConfiguration == nullptr ||
                       aConfiguration->mVersion > mConfiguration->mVersion;
    if (newer) {
      mConfiguration = std::move(aConfiguration);
    }
    return newer;
  }

  /// A peer confirmed this version as of aAt.
  void Confirm(TimePoint aAt) { mConfirmedAt = std::max(mConfirmedAt, aAt); }

  /// Null until the first read.
  const std::shared_ptr<const RelayConfiguration>& Configuration() const
  {
    return mConfiguration;
  }

  /// The version; 0 until the first read.
  std::uint64_t Version() const
  {
    return mConfiguration == nullptr ? 0 : mConfiguration->mVersion;
  }

  /// Time since the last confirmation began.
  Duration Age(TimePoint aNow) const { return aNow - mConfirmedAt; }

  /// Whether requests with keys may be served.
  bool MayServeKeys(TimePoint aNow) const
  {
    return mConfiguration != nullptr &&
           Age(aNow) < mSettings.mRevokeLimit - mSettings.mMargin;
  }

  /// Whether callers with keys are to come to this VM.
  bool WelcomesKeys(TimePoint aNow) const
  {
    return mConfiguration != nullptr &&
           Age(aNow) < std::chrono::duration_cast<Duration>(
                         mSettings.mRevokeLimit * mSettings.mWelcomePart);
  }

private:
  Settings mSettings;
  std::shared_ptr<const RelayConfiguration> mConfiguration;
  TimePoint mConfirmedAt; ///< Beginning of the last read that confirmed.
};

} // namespace peridothoist
