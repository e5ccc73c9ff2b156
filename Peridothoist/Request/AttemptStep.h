/// The steps of an attempt, and the sequences in which they are run.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <string_view>

namespace peridothoist {

/// A step of an attempt. Each step except Finished is one call.
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

/// Returns the name of a step as used in logs and trace spans.
const char*
ToName(AttemptStep aStep);

/// The steps of an attempt in order; the last one is Finished.
using AttemptPlan = std::vector<AttemptStep>;

/// Returns the plan for routes to plain services.
const AttemptPlan&
PlainPlan();

/// Returns the plan for routes to engines by reserve strategy: "before" or
/// "after" the prefill. Unknown names are treated as "before".
const AttemptPlan&
EnginePlan(std::string_view aReserveStrategy);

/// Why an attempt ended without a response.
enum class AttemptFailure
{
  Full,         ///< The upstream had no capacity and did not run it.
  NotConnected, ///< Nothing was sent.
  Expired,      ///< The prefill result was lost before its transfer.
  Error,        ///< The upstream sent a complete, but unusable response.
  TimedOut,     ///< The upstream did not respond in time.
  Broken,       ///< The upstream closed the call while running it.
  Withdrawn     ///< The last check before sending content refused it.
};

constexpr std::size_t kAttemptFailures = 7; ///< Count of AttemptFailure.

const char*
ToName(AttemptFailure aFailure);

} // namespace peridothoist
