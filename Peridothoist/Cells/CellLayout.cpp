#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>

#include <Peridothoist/Membership/Rendezvous.h>

#include <xxhash.h>

namespace peridothoist {

std::uint64_t
DigestOf(const VmRecords& aVms)
{
  std::string text;
  for (const auto& [name, vm] : aVms) {
    text += name + '\n' + vm.mZone + '\n' + vm.mPeerAddress + '\n';
  }
  return XXH3_64bits(text.data(), text.size());
}

void
CellLayout::SetVms(const VmRecords& aVms)
{
  mVms = aVms;
  mCellsByZone.clear();
  std::map<std::string, std::size_t> vmsByZone;
  std::size_t total = 0;
  for (const auto& [name, vm] : mVms) {
    if (!vm.mZone.empty()) {
      ++vmsByZone[vm.mZone];
      ++total;
    }
  }
  if (total > mSettings.mMaxSingleCell) {
    for (const auto& [zone, count] : vmsByZone) {
      const std::size_t cells =
        (count + mSettings.mCellSize - 1) / mSettings.mCellSize;
      mCellsByZone[zone] = static_cast<std::uint32_t>(cells);
    }
  }
  mVmsByCell.clear();
  for (const auto& [name, vm] : mVms) {
    if (!vm.mZone.empty()) {
      mVmsByCell[CellOf(name, vm.mZone)].push_back(vm);
    }
  }
}

std::uint32_t
CellLayout::CellCount(const std::string& aZone) const
{
  const auto it = mCellsByZone.find(aZone);
  return it == mCellsByZone.end() ? 1 : it->second;
}

CellId
CellLayout::CellOf(const std::string& aVm, const std::string& aZone) const
{
  if (IsSingleCell()) {
    return {};
  }
  CellId best{ aZone, 0 };
  std::uint64_t bestScore = 0;
  const std::uint32_t count = CellCount(aZone);
  for (std::uint32_t number = 0; number < count; ++number) {
    const std::uint64_t score = RendezvousScore(aVm, std::to_string(number));
    if (number == 0 || score > bestScore) {
      best.mNumber = number;
      bestScore = score;
    }
  }
  return best;
}

std::vector<CellId>
CellLayout::Cells() const
{
  if (IsSingleCell()) {
    return { CellId() };
  }
  std::vector<CellId> cells;
  for (const auto& [zone, count] : mCellsByZone) {
    for (std::uint32_t number = 0; number < count; ++number) {
      cells.push_back({ zone, number });
    }
  }
  return cells;
}

const std::vector<VmRecord>&
CellLayout::VmsOf(const CellId& aCell) const
{
  static const std::vector<VmRecord> kNone;
  const auto it = mVmsByCell.find(aCell);
  return it == mVmsByCell.end() ? kNone : it->second;
}

} // namespace peridothoist
