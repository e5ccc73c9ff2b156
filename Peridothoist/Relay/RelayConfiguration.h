/// The configuration of the relay: routes by host and path, the services that
/// they lead to, and workspaces with keys and limits. Responses of upstreams
/// are passed on to the caller unchanged.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <set>

namespace peridothoist {

/// How a route's requests may be run, and the form of their responses.
enum class RouteKind
{
  Idempotent,    ///< Not streamed; may run more than once.
  NonIdempotent, ///< Not streamed; each request runs at most once.
  Stream         ///< Server-sent events; runs once unless resumable.
};

/// Returns the name of a kind for logs and metrics.
const char*
ToName(RouteKind aKind);

/// A service that a route leads to, with its weight among the targets.
struct RouteTarget
{
  std::string mService;
  std::uint32_t mWeight = 1; ///< Above 0.
};

/// One route.
struct RelayRoute
{
  std::string mName;
  std::string mHost;       ///< Lower case, without a port.
  std::string mPathPrefix; ///< Begins and ends with a slash.
  std::vector<RouteTarget> mTargets;
  RouteKind mKind = RouteKind::NonIdempotent;
  bool mIsOpenToAll = false; ///< Needs no key.
  /// A broken stream may resume at another upstream.
  bool mIsResumable = false;
  std::uint32_t mMaxAttempts = 1; ///< Upstreams that a request may be sent to.
  std::uint32_t mPriority = 5;    ///< 0 is the highest.
  Duration mTimeout = 30s;        ///< From arrival to the end of the response.
  Duration mTargetLatency = 1s;   ///< Responses within it are in time.

  /// Returns whether a request may run a second time.
  bool IsRetryable() const
  {
    return mKind == RouteKind::Idempotent ||
           (mKind == RouteKind::Stream && mIsResumable);
  }

  /// Returns whether the route leads to the service.
  bool LeadsTo(const std::string& aService) const;

  /// Selects the service for one request by the weights of the targets; the
  /// same aHash gives the same service. Returns null without targets.
  const std::string* SelectService(std::uint64_t aHash) const;
};

/// Limits of the model engines of a service.
struct EngineLimits
{
  std::uint32_t mSlots = 1;          ///< Concurrent requests of an engine.
  std::uint64_t mMemoryTokens = 0;   ///< KV memory of an engine, in tokens.
  std::uint32_t mTokensPerEvent = 1; ///< Tokens in one event of a stream.
  Duration mHandleLifetime = 500ms;  ///< Lifetime of a prefill result.
};

/// What upstreams of a service bear while they are cold.
struct ColdStart
{
  Duration mPeriod{ 0 }; ///< After a start, or after an evacuation has ended.
  double mPerSecond = 0; ///< Requests a second from all VMs; 0: not limited.
};

/// One service.
struct RelayService
{
  std::string mName;
  std::optional<EngineLimits> mEngines; ///< Empty: not a model service.
  ColdStart mCold;
};

/// One workspace.
struct RelayWorkspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority; ///< Overrides the route's.
  double mTokensPerSecond = 0;            ///< 0: no limit.
  double mBurstTokens = 0;
  bool mCountsTokens = true;      ///< Otherwise each request costs one.
  std::uint64_t mPlainTokens = 1; ///< Cost of a request that states no tokens.

  /// Returns whether the limits and the costs equal those of aOther.
  bool HasSameLimit(const RelayWorkspace& aOther) const
  {
    return mTokensPerSecond == aOther.mTokensPerSecond &&
           mBurstTokens == aOther.mBurstTokens &&
           mCountsTokens == aOther.mCountsTokens &&
           mPlainTokens == aOther.mPlainTokens;
  }
};

/// A complete configuration at one version.
class RelayConfiguration
{
public:
  /// Returns the route of the host with the longest matching path prefix, or
  /// null when none matches.
  std::shared_ptr<const RelayRoute> FindRoute(std::string_view aHost,
                                              std::string_view aPath) const;

  /// Returns the workspace that holds the key, or null.
  const RelayWorkspace* FindWorkspaceByKey(const std::string& aKey) const;

  // The following return null when there is none of this name.
  const RelayWorkspace* FindWorkspace(const std::string& aName) const;
  const RelayService* FindService(const std::string& aName) const;

  /// Returns whether the requests for a service differ in priority, by route or
  /// by workspace.
  bool HasPriorities(const std::string& aService) const
  {
    return mPriorityRanks.count(aService) > 0;
  }

  /// Returns the priority of a request, 0 is the highest. The priority of its
  /// workspace takes precedence; among workspaces of one priority, or where it
  /// has none, that of the route decides. aWorkspace: null if it has none. Of a
  /// service whose requests differ, it is the rank among its priorities.
  std::uint32_t PriorityOf(const std::string& aService,
                           const RelayRoute& aRoute,
                           const RelayWorkspace* aWorkspace) const;

  /// Finds the services whose requests differ in priority. To be called after
  /// the last route and workspace were added.
  void FindPriorities();

  /// Returns whether requests need a key on routes that aren't open to all.
  bool NeedsKeys() const { return mNeedsKeys; }

  /// Lets requests need keys although there may be no workspace that holds any.
  void RequireKeys() { mNeedsKeys = true; }

  /// Returns whether some route can be served without a key.
  bool HasOpenRoutes() const;

  void AddRoute(RelayRoute aRoute);
  void AddWorkspace(RelayWorkspace aWorkspace);

  std::uint64_t mVersion = 0;                    ///< Rises with each change.
  std::map<std::string, RelayService> mServices; ///< By name.
  /// Availability zones whose upstreams get nothing. They change without a new
  /// version.
  std::set<std::string> mEvacuatedZones;

  /// Returns a digest of the evacuated zones; never 0.
  std::uint64_t EvacuationDigest() const;

  /// Returns whether version and evacuated zones equal those of aOther.
  bool HasSameState(const RelayConfiguration& aOther) const
  {
    return mVersion == aOther.mVersion &&
           mEvacuatedZones == aOther.mEvacuatedZones;
  }

  const std::vector<std::shared_ptr<const RelayRoute>>& Routes() const
  {
    return mRoutes;
  }
  const std::map<std::string, RelayWorkspace>& Workspaces() const
  {
    return mWorkspaces;
  }

private:
  /// Priority of the workspace, or else of the route; then that of the route.
  using PriorityPair = std::pair<std::uint32_t, std::uint32_t>;

  std::vector<std::shared_ptr<const RelayRoute>> mRoutes;
  std::map<std::string, RelayWorkspace> mWorkspaces;
  std::map<std::string, std::string> mWorkspaceByKey; ///< Names by key.
  /// The configuration states who may call. Without it all routes are open;
  /// with it, a request whose key is not known is refused, also when no key is
  /// known at all.
  bool mNeedsKeys = false;
  /// The priorities of workspace and route of each request, in order, by
  /// service. Services whose requests do not differ are left out.
  std::map<std::string, std::vector<PriorityPair>> mPriorityRanks;
};

} // namespace peridothoist
