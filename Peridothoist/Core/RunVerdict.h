/// Says whether a request may have run. Every refusal is built from it.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What is known about a request's execution, from weakest to strongest.
enum class RunVerdict
{
  NotRun,     ///< No byte of it has left for an upstream.
  MayHaveRun, ///< Some byte left; no whole answer came back.
  Ran         ///< A whole answer came back.
};

/// The name of a verdict, as the Peridothoist-Run header carries it.
const char*
ToName(RunVerdict aVerdict);

/// Holds a request's verdict, which only ever moves forward.
class RunVerdictTracker
{
public:
  /// The verdict as of now.
  RunVerdict Get() const { return mVerdict; }

  /// Moves to aVerdict if that is later than the current one.
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
