/// The steps of an attempt, and the orders in which they are taken.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <string_view>

namespace peridothoist {

/// One call of an attempt.
enum class AttemptStep
{
  Reserve,
  Prefill,
  Import,
  Decode,
  CallPlain,
  Finished
};

constexpr std::size_t kAttemptSteps = 6; ///< Count of AttemptStep.

/// The name of a step, for logs and spans.
const char*
ToName(AttemptStep aStep);

/// The steps of an attempt, closed by Finished.
using AttemptPlan = std::vector<AttemptStep>;

/// The plan of a route to a plain service.
const AttemptPlan&
PlainPlan();

/// The plan of a route to engines by reserve strategy ("before", "after");
/// for other names that of "before".
const AttemptPlan&
EnginePlan(std::string_view aReserveStrategy);

/// Why an attempt ended without an answer.
enum class AttemptFailure
{
  Full,         ///< The upstream refused for lack of room, before running.
  NotConnected, ///< Nothing was sent.
  Expired,      ///< The prefill's result was lost before its transfer.
  Error,        ///< The upstream answered whole, but not as hoped.
  TimedOut,     ///< Silence.
  Broken,       ///< The upstream closed the call while it ran.
  Withdrawn     ///< The gate said no before the content left.
};

constexpr std::size_t kAttemptFailures = 7; ///< Count of AttemptFailure.

const char*
ToName(AttemptFailure aFailure);

} // namespace peridothoist
