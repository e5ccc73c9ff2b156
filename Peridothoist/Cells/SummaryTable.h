/// Holds the last summary of each other cell, or the one about all other cells
/// that the leader of this VM's cell sent, and adds them up.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/GossipSummary.h>

namespace peridothoist {

/// Settings of SummaryTable.
struct SummaryTableSettings
{
  /// A cell without a summary for this long counts as unreachable.
  Duration mSilenceTimeout = 2s;
  std::size_t mMaxFailingUpstreams = 8; ///< Per summary, the worst first.
  /// Caller addresses of one cell that are sent to other zones. Callers are
  /// directed to other zones only if their own serves nothing.
  std::size_t mCallersForOtherZones = 4;
};

/// Holds the summaries that this VM received.
class SummaryTable
{
public:
  using Settings = SummaryTableSettings;

  explicit SummaryTable(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns the name under which the state of a summary's VMs is kept: one for
  /// each cell, and one for all other cells together.
  static std::string KeyOf(const GossipSummary& aSummary);

  /// Records a summary. Returns false when it is outdated.
  bool OnSummary(const GossipSummary& aSummary, TimePoint aNow);

  /// Drops the summaries that are too old; returns them by key.
  std::map<std::string, GossipSummary> DropSilent(TimePoint aNow);

  /// Drops all summaries; returns them by key. Called when this VM starts or
  /// stops being the leader of its cell, which changes what it receives.
  std::map<std::string, GossipSummary> DropAll();

  /// Returns the summary of a cell; null if there is none.
  const GossipSummary* Find(const CellId& aCell) const;

  /// Returns the leaders that sent summaries of their cells.
  std::vector<const GossipSummary*> Leaders() const;

  /// Returns the number of reachable VMs that the summaries cover.
  std::size_t ReachableVms() const;

  /// Returns whether all VMs in the summaries announce origins by content.
  bool AnnounceContents() const;

  /// Returns the caller addresses in the summaries.
  std::vector<CallerAddress> Callers() const;

  /// Fills in the sum over all summaries.
  void AddUp(GossipSummary& aSum) const;

  const Settings& GetSettings() const { return mSettings; }

private:
  struct Received
  {
    GossipSummary mSummary;
    TimePoint mAt;
  };

  Settings mSettings;
  std::map<std::string, Received> mReceived; ///< By KeyOf().
};

} // namespace peridothoist
