/// Log of a view's latest changes, from which peers are updated by deltas.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <deque>

namespace peridothoist {

/// The result of Apply().
enum class ApplyResult
{
  Applied,   ///< The change was the next one and is applied.
  Duplicate, ///< The change was already held and is dropped.
  Gap        ///< The change is dropped: earlier ones must be fetched first.
};

const char*
ToName(ApplyResult aResult);

/// Limits of a ViewChangeLog.
struct ViewChangeLogSettings
{
  std::size_t mMaxChanges = 4096;
  std::size_t mMaxBytes = 4u << 20; ///< Names and JSON texts together.
};

/// The changes to send to a peer that holds an older version.
struct ViewDelta
{
  bool mNeedsSnapshot = false;        ///< The log no longer has all changes.
  std::vector<ConfigChange> mChanges; ///< In order of consecutive versions.
};

/// Keeps recent changes in order. Invariant: their versions are consecutive
/// and end at Version().
class ViewChangeLog
{
public:
  using Settings = ViewChangeLogSettings;

  explicit ViewChangeLog(const Settings& aSettings);

  /// Applies a change if it is the next one.
  ApplyResult Apply(const ConfigChange& aChange);

  /// Clears the log and continues at a snapshot's version. Returns false and
  /// does nothing when that isn't higher than Version().
  bool Reset(std::uint64_t aVersion);

  /// Returns the changes that a peer at aVersion lacks, up to aMaxBytes, but
  /// at least one change if it lacks any.
  ViewDelta ChangesSince(std::uint64_t aVersion,
                         std::size_t aMaxBytes = 256u << 10) const;

  /// Returns the change that was made by a commit, or null when the log
  /// doesn't have it.
  const ConfigChange* FindOperation(std::string_view aOperationId) const;

  std::uint64_t Version() const { return mVersion; }
  std::size_t Bytes() const { return mBytes; }

private:
  void Trim();

  Settings mSettings;
  std::uint64_t mVersion = 0; ///< Never decreases.
  std::size_t mBytes = 0;     ///< Size of mChanges.
  std::deque<ConfigChange> mChanges;
};

} // namespace peridothoist
