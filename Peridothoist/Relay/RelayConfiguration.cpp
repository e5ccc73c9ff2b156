#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayConfiguration.h>

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace peridothoist {

const char*
ToName(RouteKind aKind)
{
  static constexpr std::array<const char*, 3> kNames = { "idempotent",
                                                         "non_idempotent",
                                                         "stream" };
  return kNames[static_cast<std::size_t>(aKind)];
}

bool
RelayRoute::LeadsTo(const std::string& aService) const
{
  return std::any_of(
    mTargets.begin(), mTargets.end(), [&](const RouteTarget& aTarget) {
      return aTarget.mService == aService;
    });
}

const std::string*
RelayRoute::SelectService(std::uint64_t aHash) const
{
  std::uint64_t sum = 0;
  for (const RouteTarget& it : mTargets) {
    sum += it.mWeight;
  }
  if (sum == 0) {
    return nullptr;
  }
  std::uint64_t place = aHash % sum;
  for (const RouteTarget& it : mTargets) {
    if (place < it.mWeight) {
      return &it.mService;
    }
    place -= it.mWeight;
  }
  return nullptr;
}

std::shared_ptr<const RelayRoute>
RelayConfiguration::FindRoute(std::string_view aHost,
                              std::string_view aPath) const
{
  std::shared_ptr<const RelayRoute> best;
  for (const auto& it : mRoutes) {
    const bool matches =
      it->mHost == aHost &&
      aPath.substr(0, it->mPathPrefix.size()) == it->mPathPrefix;
    const bool longer =
      best == nullptr || it->mPathPrefix.size() > best->mPathPrefix.size();
    if (matches && longer) {
      best = it;
    }
  }
  return best;
}

const RelayWorkspace*
RelayConfiguration::FindWorkspaceByKey(const std::string& aKey) const
{
  const auto it = mWorkspaceByKey.find(aKey);
  return it == mWorkspaceByKey.end() ? nullptr : FindWorkspace(it->second);
}

const RelayWorkspace*
RelayConfiguration::FindWorkspace(const std::string& aName) const
{
  const auto it = mWorkspaces.find(aName);
  return it == mWorkspaces.end() ? nullptr : &it->second;
}

const RelayService*
RelayConfiguration::FindService(const std::string& aName) const
{
  const auto it = mServices.find(aName);
  return it == mServices.end() ? nullptr : &it->second;
}

bool
RelayConfiguration::HasOpenRoutes() const
{
  return !NeedsKeys() ||
         std::any_of(mRoutes.begin(), mRoutes.end(), [](const auto& aRoute) {
           return aRoute->mIsOpenToAll;
         });
}

void
RelayConfiguration::AddRoute(RelayRoute aRoute)
{
  mRoutes.push_back(std::make_shared<const RelayRoute>(std::move(aRoute)));
}

void
RelayConfiguration::AddWorkspace(RelayWorkspace aWorkspace)
{
  RequireKeys();
  for (const std::string& key : aWorkspace.mKeys) {
    mWorkspaceByKey[key] = aWorkspace.mName;
  }
  const std::string name = aWorkspace.mName;
  mWorkspaces[name] = std::move(aWorkspace);
}

void
RelayConfiguration::FindPriorities()
{
  std::set<std::uint32_t> byWorkspace; // Those that workspaces have.
  bool isAnyWithout = mWorkspaces.empty();
  for (const auto& [name, workspace] : mWorkspaces) {
    if (workspace.mPriority) {
      byWorkspace.insert(*workspace.mPriority);
    } else {
      isAnyWithout = true;
    }
  }
  std::map<std::string, std::set<PriorityPair>> priorities; // By service.
  for (const auto& route : mRoutes) {
    for (const RouteTarget& target : route->mTargets) {
      std::set<PriorityPair>& all = priorities[target.mService];
      if (isAnyWithout || route->mIsOpenToAll) {
        all.insert({ route->mPriority, route->mPriority });
      }
      if (!route->mIsOpenToAll) {
        for (const std::uint32_t priority : byWorkspace) {
          all.insert({ priority, route->mPriority });
        }
      }
    }
  }
  mPriorityRanks.clear();
  for (const auto& [service, all] : priorities) {
    if (all.size() > 1) {
      mPriorityRanks[service].assign(all.begin(), all.end());
    }
  }
}

std::uint32_t
RelayConfiguration::PriorityOf(const std::string& aService,
                               const RelayRoute& aRoute,
                               const RelayWorkspace* aWorkspace) const
{
  std::uint32_t first = aRoute.mPriority;
  if (aWorkspace != nullptr && aWorkspace->mPriority) {
    first = *aWorkspace->mPriority;
  }
  const auto ranks = mPriorityRanks.find(aService);
  if (ranks == mPriorityRanks.end()) {
    return first;
  }
  const auto it = std::lower_bound(ranks->second.begin(),
                                   ranks->second.end(),
                                   PriorityPair(first, aRoute.mPriority));
  return static_cast<std::uint32_t>(it - ranks->second.begin());
}

std::uint64_t
RelayConfiguration::EvacuationDigest() const
{
  std::string text;
  for (const std::string& zone : mEvacuatedZones) {
    text += zone + '\n';
  }
  // 0 stands for a digest that was not stated.
  return std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

} // namespace peridothoist
