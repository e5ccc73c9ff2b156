/// Keeps this VM registered in the row store and removes VMs that are gone. A
/// registered VM keeps its share of the limits even while it is unreachable.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Shell/Reactor.h>

#include <set>

namespace peridothoist {

/// Registration of VMs, as seen from one of them.
class VmRegistry
{
public:
  /// The pointers are not owned.
  VmRegistry(const std::string& aTable,
             const std::string& aVm,
             Reactor* aReactor,
             RowStore* aStore);
  ~VmRegistry();

  /// Registers this VM; retries until the store has accepted it.
  void Register();

  /// Called with the names that are registered now. Registers this VM again if
  /// its name is missing.
  void OnNamesRead(const std::set<std::string>& aNames);

  /// Removes the registrations of VMs that are gone. If one of them is still
  /// running, it registers again.
  void Remove(const std::vector<std::string>& aVms);

private:
  std::string mTable;
  std::string mVm;
  Reactor* mReactor;
  RowStore* mStore;
  bool mIsRegistering = false;
  Reactor::TimerId mRetryTimer = 0;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
