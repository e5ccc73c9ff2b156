/// Stores a snapshot of the configuration in the object store after a number of
/// changes and deletes change rows that are no longer needed. Runs in each
/// process that commits changes; concurrent runs are safe.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Platform/Platform.h>

namespace peridothoist {

/// Snapshot interval and retention.
struct ConfigCompactorSettings
{
  std::uint64_t mChangesPerSnapshot = 500; ///< Changes between two snapshots.
  /// Change rows that are kept before the previous snapshot.
  std::uint64_t mRetainedChanges = 1000;
  std::size_t mDeleteBatchRows = 50; ///< Change rows deleted per transaction.
};

/// Writes snapshots and deletes old change rows.
class ConfigCompactor
{
public:
  using Settings = ConfigCompactorSettings;

  ConfigCompactor(Platform& aPlatform, const Settings& aSettings);
  ~ConfigCompactor();
  ConfigCompactor(const ConfigCompactor&) = delete;
  ConfigCompactor& operator=(const ConfigCompactor&) = delete;

  /// Called after this process committed a change; aConfiguration includes the
  /// change.
  void OnCommitted(const Configuration& aConfiguration);

private:
  void StoreSnapshot(const Configuration& aConfiguration);
  void ReadHead(std::uint64_t aVersion);
  void OnHeadRead(const ScanResult& aResult, std::uint64_t aVersion);
  void DeleteOldChanges();
  void OnOldChangesRead(const ScanResult& aResult);
  void EndRun() { mIsRunning = false; }

  /// Wraps aFunction as a callback that does nothing once this object is
  /// destroyed.
  template<typename Result, typename Function>
  std::function<void(const Result&)> Guard(Function aFunction);

  Platform& mPlatform;
  Settings mSettings;
  bool mIsRunning = false;
  /// Version of the newest snapshot known to be stored.
  std::uint64_t mLastSnapshotVersion = 0;
  /// Change rows before this version are deleted; 0: none.
  std::uint64_t mFirstKeptVersion = 0;
  std::shared_ptr<bool> mIsAlive;
};

} // namespace peridothoist
