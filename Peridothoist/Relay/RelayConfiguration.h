/// What operators set for requests that are relayed: routes by host and path,
/// the services they lead to, and workspaces with keys and limits. Answers of
/// relayed requests go back to the caller unchanged.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What may be done with a route's requests, and what its answers are.
enum class RelayKind
{
  Idempotent,    ///< A whole answer; may run more than once.
  NonIdempotent, ///< A whole answer; runs at most once for each request.
  Stream         ///< Server-sent events; runs once unless it is resumable.
};

/// The name of a kind, for logs and metrics.
const char*
ToName(RelayKind aKind);

/// A service that a route leads to, with its weight among the others.
struct RelayTarget
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
  std::vector<RelayTarget> mTargets;
  RelayKind mKind = RelayKind::NonIdempotent;
  bool mOpenToAll = false; ///< Needs no key.
  bool mResumable = false; ///< A broken stream may go on at another upstream.
  std::uint32_t mMaxAttempts =
    1;                          ///< Upstreams that one request may be sent to.
  std::uint32_t mPriority = 5;  ///< 0 goes first.
  Duration mTimeout = 30s;      ///< From arrival to the final answer.
  Duration mTargetLatency = 1s; ///< Answers within it are in time.

  /// Whether a request may run a second time.
  bool MayRepeat() const
  {
    return mKind == RelayKind::Idempotent ||
           (mKind == RelayKind::Stream && mResumable);
  }

  /// Whether the route leads to a service.
  bool LeadsTo(const std::string& aService) const;

  /// The service for one request: the targets by their weights, the same for
  /// the same aHash. Null when the route has no target.
  const std::string* ServiceFor(std::uint64_t aHash) const;
};

/// Limits of the model engines of a service.
struct RelayEngines
{
  std::uint32_t mSlots = 1;          ///< Requests that one engine runs at once.
  std::uint64_t mMemoryTokens = 0;   ///< KV memory of one engine, in tokens.
  std::uint32_t mTokensPerEvent = 1; ///< Of a stream's events.
  Duration mHandleLasts = 500ms;     ///< How long a prefill result is kept.
};

/// One service.
struct RelayService
{
  std::string mName;
  std::optional<RelayEngines> mEngines; ///< Empty: a plain service.
};

/// One workspace.
struct RelayWorkspace
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<std::uint32_t> mPriority; ///< Goes before the route's.
  double mTokensPerSecond = 0;            ///< 0: no limit.
  double mBurstTokens = 0;
  bool mCountsTokens = true;      ///< Else each request counts as one.
  std::uint64_t mPlainTokens = 1; ///< Cost of a request that states no tokens.

  /// Whether the other's limit and count are the same.
  bool HasLimitOf(const RelayWorkspace& aOther) const
  {
    return mTokensPerSecond == aOther.mTokensPerSecond &&
           mBurstTokens == aOther.mBurstTokens &&
           mCountsTokens == aOther.mCountsTokens &&
           mPlainTokens == aOther.mPlainTokens;
  }
};

/// A whole configuration at one version.
class RelayConfiguration
{
public:
  /// Routes of a host, found by the longest prefix. Null when none matches.
  std::shared_ptr<const RelayRoute> FindRoute(std::string_view aHost,
                                              std::string_view aPath) const;

  /// The workspace that holds a key. Null when none does.
  const RelayWorkspace* FindByKey(const std::string& aKey) const;

  /// Null when there is none of this name.
  const RelayWorkspace* FindWorkspace(const std::string& aName) const;
  const RelayService* FindService(const std::string& aName) const;

  /// Whether requests on routes that aren't open to all need a key.
  bool NeedsKeys() const { return !mWorkspaces.empty(); }

  /// Whether some route can be served without any key.
  bool HasOpenRoutes() const;

  void AddRoute(RelayRoute aRoute);
  void AddWorkspace(RelayWorkspace aWorkspace);

  std::uint64_t mVersion = 0; ///< Only ever goes up.
  std::map<std::string, RelayService> mServices;

  const std::vector<std::shared_ptr<const RelayRoute>>& Routes() const
  {
    return mRoutes;
  }
  const std::map<std::string, RelayWorkspace>& Workspaces() const
  {
    return mWorkspaces;
  }

private:
  std::vector<std::shared_ptr<const RelayRoute>> mRoutes;
  std::map<std::string, RelayWorkspace> mWorkspaces;
  std::map<std::string, std::string> mWorkspaceByKey;
};

} // namespace peridothoist
