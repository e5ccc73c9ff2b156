/// Data types of the configuration that operators set and every VM uses.
/// A configuration is a set of named items. Each item is a small JSON document
/// in the platform's table service, which ConfigItemCodec converts to the
/// types of this file.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Kinds of configuration item.
enum class ItemKind
{
  Workspace, ///< A customer with its allowance and pools.
  Key,       ///< An API key of a workspace, stored as a salted digest.
  Pool,      ///< A named set of upstreams of one role.
  Upstream,  ///< One back end.
  Route,     ///< A caller-facing path and the pools that serve it.
  Default,   ///< The default value of one setting for all workspaces.
  Exception  ///< A workspace's own value of a default, with the reason for it.
};

/// Converts between item kinds and their JSON names.
const char*
ToName(ItemKind aKind);
std::optional<ItemKind>
ItemKindFromName(std::string_view aName);

/// The kind of work that an upstream does.
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

/// Priority class of a route's requests, from the most to the least urgent.
enum class RequestClass
{
  Lookup,        ///< Idempotent, and a person waits for the response.
  NonIdempotent, ///< Must run at most once.
  Draft          ///< Not urgent; can wait.
};

const char*
ToName(RequestClass aClass);
std::optional<RequestClass>
RequestClassFromName(std::string_view aName);

/// A customer. Its rate and burst apply to all VMs together.
struct Workspace
{
  std::string mName;
  double mTokensPerSecond = 0; ///< Allowance rate in model tokens per second.
  double mBurstTokens = 0;     ///< Allowance burst in model tokens.
  std::vector<std::string> mPools; ///< Pools that it may use; empty: none.
};

/// An API key of a workspace. The key itself is never stored.
struct KeyRecord
{
  std::string mName; ///< Public key id, the text of the key before '.'.
  std::string mWorkspace;
  std::string mSalt;   ///< Salt in hexadecimal.
  std::string mDigest; ///< Hexadecimal SHA-256 of the text `SALTHEX.SECRET`.
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
  std::uint32_t mMemoryPieces = 0;   ///< KV memory in pieces; decode only.
  std::uint32_t mPieceTokens = 4096; ///< Number of tokens per piece.
  bool mChecksFence = false; ///< Refuses orders with an old fencing number.
  bool mIsLeaving = false;   ///< Being taken out of service; gets no new work.
};

/// A caller-facing path and the pools that serve it.
struct Route
{
  std::string mName;
  std::string mPath;  ///< Exact path, such as "/v1/chat/completions".
  std::string mModel; ///< Model that selects the route; empty for any model.
  RequestClass mClass = RequestClass::Draft;
  bool mIsIdempotent = true;
  bool mIsOpenToAll = false; ///< Requires no API key.
  std::string mPrefillPool;  ///< Set together with mDecodePool.
  std::string mDecodePool;
  std::string mPlainPool;   ///< Set, without the others, for a plain service.
  Duration mDeadline = 30s; ///< From arrival to the first response byte.
};

/// Defaults for all workspaces. An exception replaces one field for one
/// workspace.
struct Defaults
{
  bool mIdempotencyKeyRequired = true; ///< For routes that aren't idempotent.
  std::string mQueueStrategy = "fair"; ///< "fair" or "fifo".
  std::string mChooseStrategy =
    "cost"; ///< "cost", "round_robin", "least_loaded".
  std::string mReserveStrategy = "before"; ///< "before" or "after" prefill.
  std::string mAdmitStrategy = "early";    ///< "early" or "deadline".
  std::string mShareStrategy = "demand";   ///< "demand" or "equal".
  bool mHedgeLookups = true;
  double mRetryBudget =
    0.1; ///< Retries and hedges as a fraction of first attempts.
  Duration mHedgeDelay = 50ms;
  Duration mOutcomeRetention = std::chrono::hours(24 * 7);
  std::uint32_t mMaxBodyBytes = 1u << 20;
};

/// One workspace's own value of one default.
struct Exception
{
  std::string mName;
  std::string mWorkspace;
  std::string mField;  ///< JSON name of the default.
  std::string mValue;  ///< The value as JSON text.
  std::string mReason; ///< Reason stated by an operator. Never empty.
};

/// A whole configuration at one version.
struct Configuration
{
  std::uint64_t mVersion = 0; ///< Increases by one with each accepted change.
  std::map<std::string, Workspace> mWorkspaces;
  std::map<std::string, KeyRecord> mKeys;
  std::map<std::string, Pool> mPools;
  std::map<std::string, Upstream> mUpstreams;
  std::map<std::string, Route> mRoutes;
  Defaults mDefaults;
  std::map<std::string, Exception> mExceptions;
};

/// One edit of a change: sets the JSON of an item or removes the item.
struct ItemEdit
{
  ItemKind mKind = ItemKind::Workspace;
  std::string mName;
  std::string mJson; ///< Empty if the item is removed.
};

/// One accepted change from version mVersion - 1 to mVersion.
struct ConfigChange
{
  std::uint64_t mVersion = 0;
  std::string mOperationId; ///< Id chosen by the committing control process.
  std::vector<ItemEdit> mEdits;
};

} // namespace peridothoist
