/// Refusals: why a request was not served by an upstream, and whether it may
/// have run nevertheless.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>

namespace peridothoist {

/// Kinds of refusal.
enum class RefusalKind
{
  KeyWithdrawn,           ///< The API key became invalid before dispatch.
  ViewStale,              ///< This VM's view is too old to be used.
  PoolNotAllowed,         ///< The workspace may not use the route's pools.
  IdempotencyKeyMissing,  ///< The route needs an Idempotency-Key.
  IdempotencyKeyMismatch, ///< The key was already used with another body.
  InProgress,             ///< The same request is claimed, without an outcome.
  ClaimUnavailable,       ///< The table service is unreachable.
  QueueFull,              ///< A limit on the queue length is reached.
  TooLate,                ///< Expected to miss its deadline; refused early.
  DeadlinePassed,         ///< The deadline passed.
  NoUpstream,             ///< No upstream of the pool accepts work.
  TooLarge,               ///< No upstream of the pool has enough memory.
  UpstreamFailed,         ///< Failed, and no retry is allowed.
  Quarantined,            ///< Its content was present at upstream crashes.
  NoRoute,                ///< No route of the host matches the path.
  OverAllowance,          ///< The workspace's allowance is used up.
  BadRequest,             ///< The request is malformed.
  Leaving,                ///< This VM shuts down before it could respond.
  OriginUnknown,          ///< The version that began the stream is not known.
  BuffersFull             ///< The memory of this VM is used.
};

/// Returns the name of a kind as used in JSON bodies and metrics.
const char*
ToName(RefusalKind aKind);

constexpr std::size_t kRefusalKinds = 20; ///< Count of RefusalKind.

/// A refusal as sent to the caller.
struct Refusal
{
  RefusalKind mKind = RefusalKind::UpstreamFailed;
  RunVerdict mVerdict = RunVerdict::MayHaveRun;
  Duration mRetryAfter{ 0 }; ///< When a retry may succeed; 0: never.

  /// Builds a refusal with the verdict that aTracker holds for the request. All
  /// refusals get their verdict here.
  static Refusal Make(RefusalKind aKind,
                      const RunVerdictTracker& aTracker,
                      Duration aRetryAfter);

  /// Returns the HTTP status. A request that may have run never gets a status
  /// on which clients retry automatically.
  int Status() const;

  /// Returns a one-sentence message for humans.
  const char* Message() const;
};

} // namespace peridothoist
