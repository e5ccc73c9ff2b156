/// Writes a whole configuration to the object store every so many changes,
/// and removes change rows that nobody needs any more. Done by whoever
/// commits; two at the same time do no harm.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Platform/Platform.h>

namespace peridothoist {

/// How much is kept.
struct SnapshotKeeperSettings
{
  std::uint64_t mEvery = 500;        ///< Changes between snapshots.
  std::uint64_t mKeptChanges = 1000; ///< Rows kept behind the last snapshot.
  std::size_t mTrimRows = 50;        ///< Rows removed in one transaction.
};

/// Keeps the snapshot near the head.
class SnapshotKeeper
{
public:
  using Settings = SnapshotKeeperSettings;

  SnapshotKeeper(Platform& aPlatform, const Settings& aSettings);
  ~SnapshotKeeper();
  SnapshotKeeper(const SnapshotKeeper&) = delete;
  SnapshotKeeper& operator=(const SnapshotKeeper&) = delete;

  /// A change was committed here; aConfiguration holds it.
  void OnCommitted(const Configuration& aConfiguration);

private:
  void Store(const Configuration& aConfiguration);
  void ReadHead(std::uint64_t aVersion);
  void OnHead(const ScanResult& aResult, std::uint64_t aVersion);
  void Trim();
  void OnTrimRows(const ScanResult& aResult);
  void Done() { mBusy = false; }

  /// Runs aStep with an answer, unless this object is gone by then.
  template<typename Result, typename Step>
  std::function<void(const Result&)> Guard(Step aStep);

  Platform& mPlatform;
  Settings mSettings;
  bool mBusy = false;
  std::uint64_t mSnapshot = 0;  ///< Newest one known to be stored.
  std::uint64_t mTrimBelow = 0; ///< Change rows below it may go.
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
