/// Keeps this VM registered in the row store and removes VMs that are gone. A
/// registered VM keeps its share of the limits even while it is unreachable.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/CellLayout.h>
#include <Peridothoist/Node/RowStore.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Registration of VMs, as seen from one of them.
class VmRegistry
{
public:
  /// aOnRegistered is called when the store has accepted the registration. The
  /// pointers are not owned.
  VmRegistry(const std::string& aTable,
             const VmRecord& aSelf,
             Reactor* aReactor,
             RowStore* aStore,
             std::function<void()> aOnRegistered);
  ~VmRegistry();

  /// Registers this VM; retries until the store has accepted it.
  void Register();

  /// Decodes the rows of the registered VMs. Rows of builds that know no cells
  /// give records with a name only.
  static VmRecords Decode(const std::vector<StoredRow>& aRows);

  /// Called with the VMs that are registered now. Registers this VM again if it
  /// is missing or registered otherwise.
  void OnVmsRead(const VmRecords& aVms);

  /// Called with the VMs that a peer knows. Registers this VM again if it is
  /// missing although it registered long before: the store may have lost it.
  void OnVmsHeard(const VmRecords& aVms);

  /// Removes the registrations of VMs that are gone. If one of them is still
  /// running, it registers again.
  void Remove(const std::vector<std::string>& aVms);

private:
  std::string mTable;
  VmRecord mSelf;
  Reactor* mReactor;
  RowStore* mStore;
  std::function<void()> mOnRegistered;
  bool mIsRegistering = false;
  TimePoint mRegisteredAt; ///< Last time that the store accepted it.
  Reactor::TimerId mRetryTimer = 0;
  /// Set to false by the destructor; checked by pending callbacks.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace peridothoist
