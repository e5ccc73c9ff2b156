/// Runs a property and hands back whether it held, without printing: for
/// showing that a naive strategy breaks what the real one keeps.
#pragma once

#include <rapidcheck.h>

namespace peridothoist::test {

/// Hears of test cases and says nothing.
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

/// Whether aProperty held in aCases cases with the seed of RC_PARAMS.
template<typename Property>
bool
Holds(Property aProperty, int aCases)
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
