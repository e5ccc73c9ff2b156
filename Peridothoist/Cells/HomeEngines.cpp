#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/HomeEngines.h>

#include <Peridothoist/Membership/Rendezvous.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Returns the number of engines for which each cell of a zone has room: its
/// part of aEngines, rounded up.
std::vector<std::size_t>
RoomByCell(const CellLayout& aLayout,
           const std::string& aZone,
           std::size_t aEngines)
{
  std::vector<std::size_t> vms(aLayout.CellCount(aZone));
  std::size_t total = 0;
  for (std::uint32_t n = 0; n < vms.size(); ++n) {
    vms[n] = aLayout.VmsOf({ aZone, n }).size();
    total += vms[n];
  }
  std::vector<std::size_t> room;
  room.reserve(vms.size());
  for (const std::size_t count : vms) {
    room.push_back(total == 0 ? aEngines
                              : (aEngines * count + total - 1) / total);
  }
  return room;
}

/// Returns the cells of a zone in the order in which an engine prefers them.
std::vector<std::uint32_t>
PreferredCells(const std::string& aEngine, std::uint32_t aCells)
{
  std::vector<std::uint32_t> cells(aCells);
  for (std::uint32_t number = 0; number < aCells; ++number) {
    cells[number] = number;
  }
  std::sort(cells.begin(), cells.end(), [&](auto aOne, auto aTwo) {
    return RendezvousScore(aEngine, std::to_string(aOne)) >
           RendezvousScore(aEngine, std::to_string(aTwo));
  });
  return cells;
}

/// Adds those of a group of engines that have their home in aCell. Each engine
/// takes the first cell in its order of preference that has room left.
void
AddHomes(const CellLayout& aLayout,
         const CellId& aCell,
         const std::vector<std::string>& aEngines,
         std::set<std::string>& aHomes)
{
  std::vector<std::size_t> room =
    RoomByCell(aLayout, aCell.mZone, aEngines.size());
  const auto cells = static_cast<std::uint32_t>(room.size());
  for (const std::string& engine : aEngines) {
    for (const std::uint32_t number : PreferredCells(engine, cells)) {
      if (room[number] == 0) {
        continue;
      }
      --room[number];
      if (number == aCell.mNumber) {
        aHomes.insert(engine);
      }
      break;
    }
  }
}

} // namespace

std::set<std::string>
HomeEngines(const CellLayout& aLayout,
            const CellId& aCell,
            const UpstreamList& aUpstreams)
{
  std::set<std::string> homes;
  if (aLayout.IsSingleCell()) {
    return homes;
  }
  std::map<std::pair<std::string, RelayStage>, std::vector<std::string>> groups;
  for (const auto& [id, entry] : aUpstreams.All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    const bool isUsable = upstream.mZone == aCell.mZone &&
                          upstream.mStage != RelayStage::Plain &&
                          !upstream.mIsLeaving;
    if (isUsable) {
      groups[{ upstream.mService, upstream.mStage }].push_back(id);
    }
  }
  for (const auto& [group, engines] : groups) {
    AddHomes(aLayout, aCell, engines, homes);
  }
  return homes;
}

} // namespace peridothoist
