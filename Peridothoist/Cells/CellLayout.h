/// Divides the VMs of a large fleet into cells. The VMs of a cell are in one
/// availability zone and exchange their full state with each other; of other
/// cells they receive sums only. What a VM sends and receives is therefore
/// bounded by the size of a cell and does not grow with the fleet.
///
/// The layout depends only on the registered VMs, so VMs that have read the
/// same registrations agree on it without communication. A VM's cell depends on
/// its name and on the number of cells in its zone: when VMs join or leave,
/// only a few others change cells.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// A registered VM.
struct VmRecord
{
  std::string mName;
  std::string mZone;        ///< Empty: a build that knows no cells.
  std::string mPeerAddress; ///< Where it receives gossip, "ip:port".

  bool operator==(const VmRecord& aOther) const
  {
    return mName == aOther.mName && mZone == aOther.mZone &&
           mPeerAddress == aOther.mPeerAddress;
  }
};

/// Registered VMs by name.
using VmRecords = std::map<std::string, VmRecord>;

/// Returns a digest of the records; equal records have equal digests.
std::uint64_t
DigestOf(const VmRecords& aVms);

/// Names a cell. The only cell of a small fleet has an empty zone.
struct CellId
{
  std::string mZone;
  std::uint32_t mNumber = 0; ///< Within its zone, from 0.

  bool operator==(const CellId& aOther) const
  {
    return mZone == aOther.mZone && mNumber == aOther.mNumber;
  }
  bool operator<(const CellId& aOther) const
  {
    return mZone != aOther.mZone ? mZone < aOther.mZone
                                 : mNumber < aOther.mNumber;
  }
};

/// Settings of CellLayout.
struct CellLayoutSettings
{
  /// A fleet of up to this many VMs is a single cell over all zones.
  std::size_t mMaxSingleCell = 24;
  std::size_t mCellSize = 16; ///< Average number of VMs in a cell.
};

/// Maps VMs to cells.
class CellLayout
{
public:
  using Settings = CellLayoutSettings;

  explicit CellLayout(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Replaces the registered VMs. Those without a zone belong to no cell.
  void SetVms(const VmRecords& aVms);

  /// Returns whether all VMs form one cell.
  bool IsSingleCell() const { return mCellsByZone.empty(); }

  /// Returns the cell of a VM, registered or not.
  CellId CellOf(const std::string& aVm, const std::string& aZone) const;

  /// Returns all cells; one if the fleet is small.
  std::vector<CellId> Cells() const;

  /// Returns the number of cells in a zone.
  std::uint32_t CellCount(const std::string& aZone) const;

  /// Returns the registered VMs of a cell, by name.
  const std::vector<VmRecord>& VmsOf(const CellId& aCell) const;

  const VmRecords& Vms() const { return mVms; }

private:
  Settings mSettings;
  VmRecords mVms;
  /// Number of cells by zone, at least 1 each; empty for a single cell.
  std::map<std::string, std::uint32_t> mCellsByZone;
  std::map<CellId, std::vector<VmRecord>> mVmsByCell;
};

} // namespace peridothoist
