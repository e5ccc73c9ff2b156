#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/StageBalancer.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

std::string
StageBalancer::IncarnationKey(const RelayUpstream& aEngine)
{
  return aEngine.mId + "/" + std::to_string(aEngine.mIncarnationId);
}

void
StageBalancer::UpdateEligibility(const UpstreamList& aUpstreamList,
                                 TimePoint aNow)
{
  std::map<std::string, TimePoint> eligibleAt;
  std::set<std::string> ids;
  for (const auto& [id, entry] : aUpstreamList.All()) {
    const std::string incarnation = IncarnationKey(entry.mUpstream);
    const auto known = mEligibleAt.find(incarnation);
    const bool restarted = mIds.count(id) > 0;
    eligibleAt[incarnation] =
      known != mEligibleAt.end()
        ? known->second
        : aNow + (restarted ? mSettings.mMinRestartedTime
                            : mSettings.mMinListedTime);
    ids.insert(id);
  }
  mEligibleAt = std::move(eligibleAt);
  mIds = std::move(ids);
  for (auto it = mOrdered.begin(); it != mOrdered.end();) {
    it = mEligibleAt.count(*it) == 0 ? mOrdered.erase(it) : std::next(it);
  }
}

/// Returns at least aExcess engines: those already ordered, and then one at a
/// time, by id, from the zone with the most prefill engines left.
StageBalancer::Engines
StageBalancer::ChooseAmong(const Engines& aPrefill, std::size_t aExcess) const
{
  Engines chosen;
  std::map<std::string, Engines> byZone;
  for (const RelayUpstream* engine : aPrefill) {
    if (mOrdered.count(IncarnationKey(*engine)) > 0) {
      chosen.push_back(engine);
    } else {
      byZone[engine->mZone].push_back(engine);
    }
  }
  while (chosen.size() < aExcess) {
    const auto largest = std::max_element(
      byZone.begin(), byZone.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.size() < aTwo.second.size();
      });
    chosen.push_back(largest->second.front());
    largest->second.erase(largest->second.begin());
  }
  return chosen;
}

std::vector<RelayUpstream>
StageBalancer::Choose(const UpstreamList& aUpstreamList, TimePoint aNow)
{
  UpdateEligibility(aUpstreamList, aNow);
  std::map<std::string, Engines> prefill;     // By service.
  std::map<std::string, std::size_t> engines; // By service.
  for (const auto& [id, entry] : aUpstreamList.All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    if (upstream.mStage == RelayStage::Plain || upstream.mIsLeaving) {
      continue;
    }
    ++engines[upstream.mService];
    if (upstream.mStage == RelayStage::Prefill) {
      prefill[upstream.mService].push_back(&upstream);
    }
  }
  std::vector<RelayUpstream> chosen;
  for (const auto& [service, prefillEngines] : prefill) {
    const auto target = static_cast<std::size_t>(std::ceil(
      mSettings.mPrefillFraction * static_cast<double>(engines[service])));
    const std::size_t kept = std::max(target, mSettings.mMinPrefillEngines);
    if (mSettings.mPrefillFraction <= 0 || prefillEngines.size() <= kept) {
      continue;
    }
    for (const RelayUpstream* it :
         ChooseAmong(prefillEngines, prefillEngines.size() - kept)) {
      const std::string incarnation = IncarnationKey(*it);
      if (aNow >= mEligibleAt[incarnation] && !it->mIsEvacuated &&
          mOrdered.count(incarnation) == 0) {
        chosen.push_back(*it);
      }
    }
  }
  return chosen;
}

} // namespace peridothoist
