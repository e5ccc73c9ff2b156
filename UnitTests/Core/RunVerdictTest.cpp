/// Tests that a verdict never goes back to an earlier one, in whatever order
/// updates arrive.
#define BOOST_TEST_MODULE RunVerdict
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>

using namespace peridothoist;

RC_BOOST_PROP(VerdictNeverGoesBack, (const std::vector<bool>& aSteps))
{
  RunVerdictTracker tracker;
  RunVerdict latest = RunVerdict::NotRun;
  for (bool ran : aSteps) {
    const RunVerdict step = ran ? RunVerdict::Ran : RunVerdict::MayHaveRun;
    tracker.Advance(step);
    latest = std::max(latest, step);
    RC_ASSERT(tracker.Get() == latest);
  }
}
