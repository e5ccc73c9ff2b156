/// Selects the VMs to which callers are directed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/MembershipTable.h>

namespace peridothoist {

/// Settings of CallerDirectory.
struct CallerDirectorySettings
{
  /// Callers are directed to VMs of other zones too if their own zone has fewer
  /// serving VMs than this.
  std::size_t mMinZoneAddresses = 8;
  std::size_t mMaxAddresses = 64; ///< Per response.
};

/// Selects addresses for callers.
class CallerDirectory
{
public:
  using Settings = CallerDirectorySettings;

  /// aRandom is not owned.
  CallerDirectory(const Settings& aSettings, Random* aRandom)
    : mSettings(aSettings)
    , mRandom(aRandom)
  {
  }

  /// Returns addresses for a caller in aZone: those of the VMs that serve
  /// everything or, if there are none, of those that serve open routes. VMs of
  /// the caller's zone come first, and alone if there are enough of them. Of
  /// more addresses than fit in a response, a random part is returned, so that
  /// all VMs get callers. aVmCount is the number of VMs that exist: the only
  /// known address is not returned if it serves just open routes while others
  /// exist, since this VM may be cut off from VMs that serve everything.
  std::vector<std::string> Select(const std::vector<CallerAddress>& aCallers,
                                  const std::string& aZone,
                                  std::size_t aVmCount);

private:
  std::vector<std::string> Shuffled(std::vector<std::string> aAddresses);

  Settings mSettings;
  Random* mRandom;
};

} // namespace peridothoist
