/// Tells whether a request may have run. Every refusal reports it to the
/// caller.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What is known about a request's execution, in the order in which it can
/// change.
enum class RunVerdict
{
  NotRun,     ///< No byte of it has been sent to an upstream.
  MayHaveRun, ///< Some bytes were sent, but no complete response was received.
  Ran         ///< A complete response was received.
};

/// Returns the name of a verdict in the Peridothoist-Run header.
const char*
ToName(RunVerdict aVerdict);

/// Holds a request's verdict, which never goes back to an earlier one.
class RunVerdictTracker
{
public:
  /// Returns the current verdict.
  RunVerdict Get() const { return mVerdict; }

  /// Sets the verdict if aVerdict is later than the current one.
  void Advance(RunVerdict aVerdict)
  {
    if (aVerdict > mVerdict) {
      mVerdict = aVerdict;
    }
  }

private:
  RunVerdict mVerdict = RunVerdict::NotRun; ///< Invariant: never decreases.
};

} // namespace peridothoist
