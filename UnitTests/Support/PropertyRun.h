/// Runs a RapidCheck property without output and returns whether it held.
/// Tests use it to show that a naive implementation violates a property that
/// the real one satisfies.
#pragma once

#include <rapidcheck.h>

namespace peridothoist::test {

/// Ignores all events of a test run.
class SilentListener : public rc::detail::TestListener
{
public:
  // See: rc::detail::TestListener
  void onTestCaseFinished(const rc::detail::CaseDescription&) override {}
  void onShrinkTried(const rc::detail::CaseDescription&, bool) override {}
  void onTestFinished(const rc::detail::TestMetadata&,
                      const rc::detail::TestResult&) override
  {
  }
};

/// Returns whether aProperty holds in aCases random cases, generated from the
/// seed in RC_PARAMS.
template<typename Property>
bool
PropertyHolds(Property aProperty, int aCases)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = aCases;
  params.disableShrinking = true;
  SilentListener listener;
  const rc::detail::TestResult result = rc::detail::checkTestable(
    aProperty, rc::detail::TestMetadata{}, params, listener);
  return result.template is<rc::detail::SuccessResult>();
}

} // namespace peridothoist::test
