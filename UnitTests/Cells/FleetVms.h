/// Registered VMs of made-up fleets.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>

namespace peridothoist::test {

inline VmRecord
MakeVm(const std::string& aZone, int aNumber)
{
  const std::string name = "front-" + aZone + '-' + std::to_string(aNumber);
  return { name, aZone, name + ":7600" };
}

/// Returns aPerZone VMs in each of aZones zones.
inline VmRecords
MakeFleet(int aZones, int aPerZone)
{
  VmRecords vms;
  for (int zone = 0; zone < aZones; ++zone) {
    for (int n = 1; n <= aPerZone; ++n) {
      const VmRecord vm = MakeVm("z" + std::to_string(zone), n);
      vms[vm.mName] = vm;
    }
  }
  return vms;
}

inline CellLayout
MakeLayout(const VmRecords& aVms)
{
  CellLayout layout({});
  layout.SetVms(aVms);
  return layout;
}

} // namespace peridothoist::test
