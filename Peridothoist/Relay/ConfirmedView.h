/// Tracks when this VM's configuration was last confirmed to be current, and
/// decides what may be served with it. A withdrawn key must stop working
/// everywhere within a bound, even at a VM that is cut off from the store.
/// Requests with keys are therefore served only while the last confirmation is
/// recent enough. A VM that knows that a newer version exists serves nothing
/// with the one it holds when that is older than a change may take, whatever
/// keeps it from reading the newer one.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

namespace peridothoist {

/// Bounds of ConfirmedView.
struct ConfirmedViewSettings
{
  /// Maximum time that a key keeps working after its withdrawal.
  Duration mRevokeLimit = 5s;
  /// Time at the end of mRevokeLimit that is reserved for bytes in flight and
  /// clock drift.
  Duration mMargin = 700ms;
  /// After this fraction of mRevokeLimit without a confirmation, new callers
  /// are directed to other VMs, before this VM has to refuse them.
  double mAttractFraction = 0.5;
  /// Availability zones may be evacuated. Peers that state no digest of the
  /// evacuated zones then confirm nothing.
  bool mHasEvacuations = false;
  /// Maximum time until a change of the configuration is in force.
  Duration mChangeLimit = 2s;
};

/// Holds the newest configuration and the time of its last confirmation.
///
/// Invariants: the version never decreases; a confirmation counts from the
/// start of its read, so every change acknowledged before it is included. Of
/// two states of the evacuated zones at one version, that of the later
/// confirmation is held.
class ConfirmedView
{
public:
  using Settings = ConfirmedViewSettings;

  explicit ConfirmedView(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  void SetSettings(const Settings& aSettings) { mSettings = aSettings; }

  bool HasEvacuations() const { return mSettings.mHasEvacuations; }

  /// Takes aConfiguration, the result of a read that began at aBegan. Returns
  /// whether it replaces the known one: its version is higher, or its evacuated
  /// zones differ and the read began later. An older one is dropped and
  /// confirms nothing.
  bool OnRead(std::shared_ptr<const RelayConfiguration> aConfiguration,
              TimePoint aBegan)
  {
    if (mConfiguration != nullptr &&
        aConfiguration->mVersion < mConfiguration->mVersion) {
      return false;
    }
    const bool isLater = aBegan > mConfirmedAt;
    const bool newer = mConfiguration == nullptr ||
                       aConfiguration->mVersion > mConfiguration->mVersion ||
                       (isLater && aConfiguration->mEvacuatedZones !=
                                     mConfiguration->mEvacuatedZones);
    const bool isOutdated =
      !newer && !aConfiguration->HasSameState(*mConfiguration);
    if (isOutdated) {
      return false;
    }
    mConfirmedAt = std::max(mConfirmedAt, aBegan);
    if (newer) {
      mConfiguration = std::move(aConfiguration);
    }
    return newer;
  }

  /// Called when a peer stated at aNow that it holds aVersion. Returns whether
  /// that is newer than all that was known.
  bool OnPeerVersion(std::uint64_t aVersion, TimePoint aNow)
  {
    if (aVersion <= std::max(Version(), mNewestKnown)) {
      return false;
    }
    mNewestKnown = aVersion;
    mNewestKnownAt = aNow;
    return true;
  }

  /// Returns the newest version that a peer has stated; 0: none. Its first
  /// statement was received at NewestKnownAt().
  std::uint64_t NewestKnown() const { return mNewestKnown; }
  TimePoint NewestKnownAt() const { return mNewestKnownAt; }

  /// Called when a peer confirmed this version as of aAt.
  void Confirm(TimePoint aAt) { mConfirmedAt = std::max(mConfirmedAt, aAt); }

  /// Returns the configuration; null until the first read.
  const std::shared_ptr<const RelayConfiguration>& Configuration() const
  {
    return mConfiguration;
  }

  /// Returns whether the configuration has the version and the evacuated zones
  /// of aOther.
  bool HasStateOf(const RelayConfiguration& aOther) const
  {
    return mConfiguration != nullptr && mConfiguration->HasSameState(aOther);
  }

  /// Returns the digest of the evacuated zones; 0 until the first read.
  std::uint64_t EvacuationDigest() const
  {
    return mConfiguration == nullptr ? 0 : mConfiguration->EvacuationDigest();
  }

  /// Returns when the last confirming read began.
  TimePoint ConfirmedAt() const { return mConfirmedAt; }

  /// Returns the version; 0 until the first read.
  std::uint64_t Version() const
  {
    return mConfiguration == nullptr ? 0 : mConfiguration->mVersion;
  }

  /// Returns the time since the last confirming read began.
  Duration Age(TimePoint aNow) const { return aNow - mConfirmedAt; }

  /// Returns whether a newer version than the one held is known to exist. If
  /// the held one was confirmed later than the statement, that was wrong, or
  /// the store has been restored from an older copy.
  bool IsOutdated() const
  {
    return Version() < mNewestKnown && mConfirmedAt <= mNewestKnownAt;
  }

  /// Returns whether new requests may be served, with or without keys. A
  /// version that was current until its last confirmation may be used for as
  /// long as a change may take after that.
  bool MayServe(TimePoint aNow) const
  {
    return mConfiguration != nullptr &&
           (!IsOutdated() || Age(aNow) < mSettings.mChangeLimit);
  }

  /// Returns whether requests with keys may be served.
  bool MayServeKeyedRequests(TimePoint aNow) const
  {
    return mConfiguration != nullptr &&
           Age(aNow) < mSettings.mRevokeLimit - mSettings.mMargin;
  }

  /// Returns whether new callers with keys should be directed to this VM.
  bool ShouldAttractKeyedRequests(TimePoint aNow) const
  {
    return mConfiguration != nullptr &&
           Age(aNow) < std::chrono::duration_cast<Duration>(
                         mSettings.mRevokeLimit * mSettings.mAttractFraction);
  }

private:
  Settings mSettings;
  std::shared_ptr<const RelayConfiguration> mConfiguration;
  TimePoint mConfirmedAt;         ///< Start of the last read that confirmed it.
  std::uint64_t mNewestKnown = 0; ///< Stated by a peer; never decreases.
  TimePoint mNewestKnownAt;       ///< When it was first stated.
};

} // namespace peridothoist
