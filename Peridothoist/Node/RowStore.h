/// Interface to a deployment's persistent store of rows, which is shared by all
/// VMs and independent of their lifetimes.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Core/StoreVersion.h>

namespace peridothoist {

/// A row of a table.
struct StoredRow
{
  std::string mKey;
  std::string mValue;
  StoreVersion mVersion; ///< Increases with each write of the row.
};

/// Returns a digest of the rows, of the numbers of their versions too. 0 is
/// never returned. Rows that peers of any build share have equal digests.
std::uint64_t
DigestOf(const std::vector<StoredRow>& aRows);

/// A write or removal of one row.
struct RowChange
{
  std::string mTable;
  std::string mKey;
  std::optional<std::string> mValue; ///< nullopt removes the row.
  /// Makes the change conditional on this version of the row; not set: on its
  /// absence. A version of a former era is never met.
  std::optional<StoreVersion> mExpectedVersion;
};

/// A reading of a store's steady clock, which is common to all VMs and goes on
/// while none of them runs.
struct StoreClock
{
  std::uint64_t mNowMs = 0; ///< Arbitrary origin.
  TimePoint mReceivedAt;    ///< By this VM's clock; later than the reading.
  std::uint64_t mEra = 0;   ///< See StoreVersion.
};

/// Learns of the restoration of a store.
class RowStoreListener
{
public:
  virtual ~RowStoreListener() = default;

  /// Called when a response shows that the store was restored from a copy: what
  /// was written shortly before may be missing. aEra: the new one.
  virtual void OnStoreRestored(std::uint64_t aEra) = 0;
};

/// Reads and writes rows. Callbacks run on the reactor's thread, never before
/// the method has returned.
class RowStore
{
public:
  virtual ~RowStore() = default;

  /// Receives all rows of a table as of one moment after the call, or nullopt
  /// and the reason for the failure.
  using ReadCallback =
    std::function<void(std::optional<std::vector<StoredRow>> aRows,
                       const Reason& aReason)>;
  virtual void ReadTable(const std::string& aTable, ReadCallback aCallback) = 0;

  /// Receives whether the change took effect. InDoubt: it may have taken effect
  /// or may still do so, or the store was restored meanwhile. aVersion: the
  /// row's new version, which exceeds that of any earlier change; not set if
  /// the change did not take effect.
  using ChangeCallback =
    std::function<void(const Reason& aReason, StoreVersion aVersion)>;
  virtual void Change(const RowChange& aChange, ChangeCallback aCallback) = 0;

  /// Returns the clock as of the last response; nullopt: not stated.
  virtual std::optional<StoreClock> Clock() const { return std::nullopt; }

  /// Returns the newest era that a response has stated; 0: none has.
  virtual std::uint64_t Era() const { return 0; }

  /// aListener is not owned; null: nobody is told.
  virtual void SetListener(RowStoreListener* /*aListener*/) {}
};

} // namespace peridothoist
