/// Keeps this VM registered in the row store, and removes VMs that vanished.
/// Registered VMs share limits also while they can't be heard.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Shell/Reactor.h>

#include <set>

namespace peridothoist {

/// The registration of one VM.
class VmRegistry
{
public:
  /// Nothing is owned.
  VmRegistry(const std::string& aTable,
             const std::string& aVm,
             Reactor* aReactor,
             RowStore* aStore);
  ~VmRegistry();

  /// Registers this VM, again and again until the store has taken it.
  void Register();

  /// The names that are registered now: this VM registers again when its own
  /// is missing.
  void OnRead(const std::set<std::string>& aNames);

  /// Removes VMs that vanished. A VM that lives registers again.
  void Remove(const std::vector<std::string>& aVms);

private:
  std::string mTable;
  std::string mVm;
  Reactor* mReactor;
  RowStore* mStore;
  bool mRegistering = false;
  Reactor::TimerId mTimer = 0;
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
