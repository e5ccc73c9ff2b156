/// Knows since when the upstreams of each service have had which software
/// versions, by a record for each service that all VMs share and that outlives
/// them. A stream of unknown origin goes on if the record proves that a single
/// version can have begun it.
///
/// Invariant: a stream that can be resumed begins at upstreams of recorded
/// versions only, so a record that was read after an attempt arrived contains
/// the version that began the attempt's stream.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <map>
#include <set>

namespace peridothoist {

/// The record of one service. Times are those of the shared store's steady
/// clock, in milliseconds.
struct ServiceVersions
{
  std::set<std::string> mListed; ///< Versions of upstreams that are listed.
  /// When each other version was last known to be listed.
  std::map<std::string, std::uint64_t> mGoneAtMs;
  std::uint64_t mSinceMs = 0; ///< Versions that were gone by then are unknown.
  /// Of the store when it was written; 0: not stated. In another era it proves
  /// nothing: what was written since the copy is missing.
  std::uint64_t mEra = 0;

  bool operator==(const ServiceVersions& aOther) const
  {
    return mListed == aOther.mListed && mGoneAtMs == aOther.mGoneAtMs &&
           mSinceMs == aOther.mSinceMs && mEra == aOther.mEra;
  }
};

/// Returns what a record of a former era tells: versions that are listed, since
/// an unknown time.
ServiceVersions
WithoutTimes(const ServiceVersions& aRecord);

using VersionsByService = std::map<std::string, ServiceVersions>;
using ListedVersions = std::map<std::string, std::set<std::string>>;

/// Returns the record that follows aBefore (null: there is none) when the
/// versions aListed are listed at aNowMs, by the clock of aEra.
ServiceVersions
NextRecord(const ServiceVersions* aBefore,
           const std::set<std::string>& aListed,
           std::uint64_t aNowMs,
           std::uint64_t aEra = 0);

/// Holds the records as they were last read.
class SoftwareVersions
{
public:
  /// Called when the records were read. aStartedAt: start of the read. aNowMs:
  /// the store's clock at the read or shortly before; nullopt: not stated.
  void OnRead(VersionsByService aRecords,
              std::optional<std::uint64_t> aNowMs,
              TimePoint aStartedAt);

  /// Returns null if there is no record.
  const ServiceVersions* Find(const std::string& aService) const;

  /// Returns the only version that was listed within aPeriod before the last
  /// read, which started at aNotBefore or later; nullopt if there were several,
  /// or it is not certain.
  std::optional<std::string> SoleVersion(const std::string& aService,
                                         Duration aPeriod,
                                         TimePoint aNotBefore) const;

  /// Returns the services of which several versions are listed by the records,
  /// or were within aPeriod before aNow: these don't tell where a stream began.
  std::set<std::string> ServicesWithSeveral(Duration aPeriod,
                                            TimePoint aNow) const;

  /// Returns the versions that are recorded as listed.
  ListedVersions Listed() const;

private:
  VersionsByService mRecords;
  std::optional<std::uint64_t> mNowMs;
  std::optional<TimePoint> mReadAt;
};

} // namespace peridothoist
