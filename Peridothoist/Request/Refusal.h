/// Refusals: why a request is not answered by an upstream, and what that says
/// about whether it ran.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>

namespace peridothoist {

/// Kinds of refusal.
enum class RefusalKind
{
  KeyWithdrawn,           ///< The key stopped being good before dispatch.
  ViewStale,              ///< This VM's view is too old to act on.
  PoolNotAllowed,         ///< The workspace may not use the route's pools.
  IdempotencyKeyMissing,  ///< The route needs an Idempotency-Key.
  IdempotencyKeyMismatch, ///< The key was used with another body.
  InProgress,             ///< The same request is claimed; no outcome is kept.
  ClaimUnavailable,       ///< The table service can't be reached.
  QueueFull,              ///< A bound on queue length is reached.
  TooLate,                ///< Can't meet its deadline, seen early.
  DeadlinePassed,         ///< The deadline passed.
  NoUpstream,             ///< No upstream of the pool can take work.
  TooLarge,               ///< No upstream of the pool could ever hold it.
  UpstreamFailed,         ///< Failed, and no further try is allowed.
  Quarantined,            ///< Was present at upstream crashes.
  NoRoute,                ///< No route of the host has the path.
  OverAllowance,          ///< The workspace's allowance is used up.
  BadRequest,             ///< Something in the request can't be read.
  Leaving                 ///< This VM stops before it could be answered.
};

/// The name of a kind, as JSON bodies and metrics carry it.
const char*
ToName(RefusalKind aKind);

constexpr std::size_t kRefusalKinds = 18; ///< Count of RefusalKind.

/// A refusal as it goes to the caller.
struct Refusal
{
  RefusalKind mKind = RefusalKind::UpstreamFailed;
  RunVerdict mVerdict = RunVerdict::MayHaveRun;
  Duration mRetryAfter{ 0 }; ///< When it makes sense to come back; 0: never.

  /// Builds a refusal from what is known of the request. This is the only
  /// place where a refusal's verdict comes from.
  static Refusal Make(RefusalKind aKind,
                      const RunVerdictTracker& aTracker,
                      Duration aRetryAfter);

  /// The HTTP status. A request that may have run is never answered by a
  /// status that invites an automatic resend.
  int Status() const;

  /// One sentence for people.
  const char* Message() const;
};

} // namespace peridothoist
