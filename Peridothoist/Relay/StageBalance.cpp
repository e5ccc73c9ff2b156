#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/StageBalance.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

std::string
StageBalance::LifeOf(const RelayUpstream& aEngine)
{
  return aEngine.mId + "/" + std::to_string(aEngine.mBorn);
}

void
StageBalance::NoteListed(const UpstreamRoster& aRoster, TimePoint aNow)
{
  std::map<std::string, TimePoint> orderFrom;
  std::set<std::string> ids;
  for (const auto& [id, entry] : aRoster.All()) {
    const std::string life = LifeOf(entry.mUpstream);
    const auto known = mOrderFrom.find(life);
    const bool reborn = mIds.count(id) > 0;
    orderFrom[life] =
      known != mOrderFrom.end()
        ? known->second
        : aNow + (reborn ? mSettings.mLeastReborn : mSettings.mLeastListed);
    ids.insert(id);
  }
  mOrderFrom = std::move(orderFrom);
  mIds = std::move(ids);
  for (auto it = mTaken.begin(); it != mTaken.end();) {
    it = mOrderFrom.count(*it) == 0 ? mTaken.erase(it) : std::next(it);
  }
}

/// Those that were taken already, then one by one from the zone that has most
/// left, by id.
StageBalance::Engines
StageBalance::ChooseAmong(const Engines& aPrefill, std::size_t aExcess) const
{
  Engines chosen;
  std::map<std::string, Engines> byZone;
  for (const RelayUpstream* engine : aPrefill) {
    if (mTaken.count(LifeOf(*engine)) > 0) {
      chosen.push_back(engine);
    } else {
      byZone[engine->mZone].push_back(engine);
    }
  }
  while (chosen.size() < aExcess) {
    const auto most = std::max_element(
      byZone.begin(), byZone.end(), [](const auto& aOne, const auto& aTwo) {
        return aOne.second.size() < aTwo.second.size();
      });
    chosen.push_back(most->second.front());
    most->second.erase(most->second.begin());
  }
  return chosen;
}

std::vector<RelayUpstream>
StageBalance::Choose(const UpstreamRoster& aRoster, TimePoint aNow)
{
  NoteListed(aRoster, aNow);
  std::map<std::string, Engines> prefill;     // By service.
  std::map<std::string, std::size_t> engines; // By service.
  for (const auto& [id, entry] : aRoster.All()) {
    const RelayUpstream& upstream = entry.mUpstream;
    if (upstream.mStage == RelayStage::Plain || upstream.mLeaving) {
      continue;
    }
    ++engines[upstream.mService];
    if (upstream.mStage == RelayStage::Prefill) {
      prefill[upstream.mService].push_back(&upstream);
    }
  }
  std::vector<RelayUpstream> chosen;
  for (const auto& [service, readers] : prefill) {
    const auto part = static_cast<std::size_t>(std::ceil(
      mSettings.mPrefillPart * static_cast<double>(engines[service])));
    const std::size_t kept = std::max(part, mSettings.mLeastPrefill);
    if (mSettings.mPrefillPart <= 0 || readers.size() <= kept) {
      continue;
    }
    for (const RelayUpstream* it :
         ChooseAmong(readers, readers.size() - kept)) {
      const std::string life = LifeOf(*it);
      if (aNow >= mOrderFrom[life] && mTaken.count(life) == 0) {
        chosen.push_back(*it);
      }
    }
  }
  return chosen;
}

} // namespace peridothoist
