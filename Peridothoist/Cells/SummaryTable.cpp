#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/SummaryTable.h>

#include <algorithm>

#include <set>

namespace peridothoist {

namespace {

/// Names of VMs contain no slash, so these keys never equal one.
constexpr const char* kOtherCells = "cells/other";

std::string
KeyOfCell(const CellId& aCell)
{
  return "cell/" + aCell.mZone + '/' + std::to_string(aCell.mNumber);
}

} // namespace

std::string
SummaryTable::KeyOf(const GossipSummary& aSummary)
{
  return aSummary.mCell ? KeyOfCell(*aSummary.mCell) : kOtherCells;
}

bool
SummaryTable::OnSummary(const GossipSummary& aSummary, TimePoint aNow)
{
  const std::string key = KeyOf(aSummary);
  const auto known = mReceived.find(key);
  const bool isOutdated =
    known != mReceived.end() &&
    known->second.mSummary.mInstance == aSummary.mInstance &&
    known->second.mSummary.mSequence >= aSummary.mSequence;
  if (isOutdated) {
    return false;
  }
  mReceived[key] = { aSummary, aNow };
  return true;
}

std::map<std::string, GossipSummary>
SummaryTable::DropSilent(TimePoint aNow)
{
  std::map<std::string, GossipSummary> dropped;
  for (auto it = mReceived.begin(); it != mReceived.end();) {
    if (aNow - it->second.mAt > mSettings.mSilenceTimeout) {
      dropped[it->first] = std::move(it->second.mSummary);
      it = mReceived.erase(it);
    } else {
      ++it;
    }
  }
  return dropped;
}

std::map<std::string, GossipSummary>
SummaryTable::DropAll()
{
  std::map<std::string, GossipSummary> dropped;
  for (auto& [key, received] : mReceived) {
    dropped[key] = std::move(received.mSummary);
  }
  mReceived.clear();
  return dropped;
}

const GossipSummary*
SummaryTable::Find(const CellId& aCell) const
{
  const auto it = mReceived.find(KeyOfCell(aCell));
  return it == mReceived.end() ? nullptr : &it->second.mSummary;
}

std::vector<const GossipSummary*>
SummaryTable::Leaders() const
{
  std::vector<const GossipSummary*> leaders;
  for (const auto& [key, received] : mReceived) {
    if (received.mSummary.mCell) {
      leaders.push_back(&received.mSummary);
    }
  }
  return leaders;
}

std::size_t
SummaryTable::ReachableVms() const
{
  std::size_t count = 0;
  for (const auto& [key, received] : mReceived) {
    count += received.mSummary.mReachableVms;
  }
  return count;
}

bool
SummaryTable::AnnounceContents() const
{
  return std::all_of(
    mReceived.begin(), mReceived.end(), [](const auto& aEntry) {
      return aEntry.second.mSummary.mAnnounceContents;
    });
}

std::vector<CallerAddress>
SummaryTable::Callers() const
{
  std::vector<CallerAddress> callers;
  for (const auto& [key, received] : mReceived) {
    const auto& some = received.mSummary.mCallers;
    callers.insert(callers.end(), some.begin(), some.end());
  }
  return callers;
}

void
SummaryTable::AddUp(GossipSummary& aSum) const
{
  aSum.mReachableVms = ReachableVms();
  aSum.mCallers = Callers();
  aSum.mAnnounceContents = AnnounceContents();
  std::set<std::string> gone;
  for (const auto& [key, received] : mReceived) {
    const GossipSummary& it = received.mSummary;
    for (const auto& [service, waiting] : it.mWaiting) {
      aSum.mWaiting[service] += waiting;
    }
    AddWaiting(aSum.mPriorities, it.mPriorities);
    AddPoolWork(aSum.mPoolWork, it.mPoolWork);
    for (const auto& [id, work] : it.mWork) {
      aSum.mWork[id] += work;
    }
    for (const auto& [id, counts] : it.mFailingUpstreams) {
      aSum.mFailingUpstreams[id].mFailed += counts.mFailed;
      aSum.mFailingUpstreams[id].mSucceeded += counts.mSucceeded;
    }
    gone.insert(it.mGoneUpstreams.begin(), it.mGoneUpstreams.end());
    MergeProcesses(aSum.mLeavingUpstreams, it.mLeavingUpstreams);
    MergeLimits(aSum.mLimits, it.mLimits);
    MergeColdTimes(aSum.mCold, it.mCold);
  }
  aSum.mGoneUpstreams.assign(gone.begin(), gone.end());
  aSum.mFailingUpstreams = WorstFailing(std::move(aSum.mFailingUpstreams),
                                        mSettings.mMaxFailingUpstreams);
}

} // namespace peridothoist
