/// The configuration as data: what operators set, and what every VM acts on.
/// A configuration is a set of named items, each a small JSON document in the
/// platform's table service; ConfigurationReader turns items into this.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Kinds of configuration item.
enum class ItemKind
{
  Workspace, ///< A tenant with its allowance and pools.
  Key,       ///< A workspace's key, as a salted digest.
  Pool,      ///< A named set of upstreams of one role.
  Upstream,  ///< One back end.
  Route,     ///< A caller-facing path and where it leads.
  Default,   ///< A fleet-wide default.
  Exception  ///< A workspace's own value for a default, with its reason.
};

/// The name of an item kind, and back.
const char*
ToName(ItemKind aKind);
std::optional<ItemKind>
ItemKindFromName(std::string_view aName);

/// What an upstream does.
enum class UpstreamRole
{
  Prefill,
  Decode,
  Plain
};

const char*
ToName(UpstreamRole aRole);
std::optional<UpstreamRole>
UpstreamRoleFromName(std::string_view aName);

/// How urgent a route's requests are; earlier ones go first.
enum class RequestClass
{
  Lookup,        ///< Idempotent, and someone is waiting.
  NonIdempotent, ///< Must run at most once.
  Draft          ///< Can wait.
};

const char*
ToName(RequestClass aClass);
std::optional<RequestClass>
RequestClassFromName(std::string_view aName);

/// A tenant. Its rate and burst are counted over all VMs together.
struct Workspace
{
  std::string mName;
  double mTokensPerSecond = 0; ///< Allowance rate, in model tokens a second.
  double mBurstTokens = 0;     ///< Allowance burst, in model tokens.
  std::vector<std::string> mPools; ///< Pools that it may use; empty: none.
};

/// A workspace's key. The key itself is never kept.
struct KeyRecord
{
  std::string mName; ///< Public key id, the part of the key before '.'.
  std::string mWorkspace;
  std::string mSalt;   ///< Hex.
  std::string mDigest; ///< Hex SHA-256 of the text `SALTHEX.SECRET`.
};

/// A named set of upstreams of one role.
struct Pool
{
  std::string mName;
  UpstreamRole mRole = UpstreamRole::Plain;
  std::string mModel; ///< Model served; empty for plain services.
};

/// One back end.
struct Upstream
{
  std::string mName;
  std::string mPool;
  std::string mAddress; ///< "ip:port".
  std::string mZone;
  std::uint32_t mMemoryPieces = 0;   ///< KV memory, in pieces; decode only.
  std::uint32_t mPieceTokens = 4096; ///< Tokens for each piece.
  bool mChecksFence = false; ///< Refuses orders with an old fencing number.
  bool mLeaving = false;     ///< Gets no new work.
};

/// A caller-facing path and where it leads.
struct Route
{
  std::string mName;
  std::string mPath;  ///< Exact path, as "/v1/chat/completions".
  std::string mModel; ///< Model name that selects it; empty: any.
  RequestClass mClass = RequestClass::Draft;
  bool mIdempotent = true;
  bool mOpenToAll = false;  ///< Needs no key.
  std::string mPrefillPool; ///< Set together with mDecodePool.
  std::string mDecodePool;
  std::string mPlainPool;   ///< Set alone: a plain service.
  Duration mDeadline = 30s; ///< From arrival to the first byte of an answer.
};

/// Fleet-wide defaults. An exception replaces one field for one workspace.
struct Defaults
{
  bool mIdempotencyKeyRequired = true; ///< On routes that are not idempotent.
  std::string mQueueStrategy = "fair"; ///< "fair" or "fifo".
  std::string mChooseStrategy =
    "cost"; ///< "cost", "round_robin", "least_loaded".
  std::string mReserveStrategy = "before"; ///< "before" or "after" prefill.
  std::string mAdmitStrategy = "early";    ///< "early" or "deadline".
  std::string mShareStrategy = "demand";   ///< "demand" or "equal".
  bool mHedgeLookups = true;
  double mRetryBudget =
    0.1; ///< Retries and hedges as a share of fresh requests.
  Duration mHedgeDelay = 50ms;
  Duration mOutcomeRetention = std::chrono::hours(24 * 7);
  std::uint32_t mMaxBodyBytes = 1u << 20;
};

/// One workspace's own value for one default.
struct Exception
{
  std::string mName;
  std::string mWorkspace;
  std::string mField;  ///< The default's field name in JSON.
  std::string mValue;  ///< The value as JSON text.
  std::string mReason; ///< Why, in an operator's words. Never empty.
};

/// A whole configuration at one version.
struct Configuration
{
  std::uint64_t mVersion = 0; ///< Goes up by one with each accepted change.
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, KeyRecord> mKeys;
  std::map<std::string, Pool> mPools;
  std::map<std::string, Upstream> mUpstreams;
  std::map<std::string, Route> mRoutes;
  Defaults mDefaults;
  std::map<std::string, Exception> mExceptions;
};

/// One edited item of a change: its new JSON, or its removal.
struct ItemEdit
{
  ItemKind mKind = ItemKind::Workspace;
  std::string mName;
  std::string mJson; ///< Empty: the item is removed.
};

/// One accepted change, which leads from version mVersion - 1 to mVersion.
struct ConfigChange
{
  std::uint64_t mVersion = 0;
  std::string mOperationId; ///< Chosen by the committing control process.
  std::vector<ItemEdit> mEdits;
};

} // namespace peridothoist
