/// The latest changes of a view, kept to bring peers up to date by deltas.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <deque>

namespace peridothoist {

/// What became of a change that came in.
enum class ApplyResult
{
  Applied,   ///< It was the next one.
  Duplicate, ///< Already held; dropped.
  Gap        ///< Changes before it are missing; dropped, ask for them.
};

const char*
ToName(ApplyResult aResult);

/// Limits of a ViewLog.
struct ViewLogSettings
{
  std::size_t mMaxChanges = 4096;
  std::size_t mMaxBytes = 4u << 20; ///< Of names and JSON texts together.
};

/// What to send to a peer that holds an older version.
struct ViewDelta
{
  bool mNeedsSnapshot = false;        ///< It is too far behind for changes.
  std::vector<ConfigChange> mChanges; ///< In order, each one version higher.
};

/// Keeps recent changes in order. Invariant: versions are consecutive and end
/// at Version().
class ViewLog
{
public:
  using Settings = ViewLogSettings;

  explicit ViewLog(const Settings& aSettings);

  /// Takes the next change, strictly in order.
  ApplyResult Apply(const ConfigChange& aChange);

  /// Starts again at a snapshot's version. False when that isn't higher.
  bool Reset(std::uint64_t aVersion);

  /// What a peer at aVersion lacks, at most aMaxBytes of it (always at least
  /// one change when it lacks any).
  ViewDelta ChangesSince(std::uint64_t aVersion,
                         std::size_t aMaxBytes = 256u << 10) const;

  /// The kept change that a commit made; null when it is not kept.
  const ConfigChange* FindOperation(std::string_view aOperationId) const;

  std::uint64_t Version() const { return mVersion; }
  std::size_t Bytes() const { return mBytes; }

private:
  void Trim();

  Settings mSettings;
  std::uint64_t mVersion = 0; ///< Never decreases.
  std::size_t mBytes = 0;     ///< Of mChanges.
  std::deque<ConfigChange> mChanges;
};

} // namespace peridothoist
