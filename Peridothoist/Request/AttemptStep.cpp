#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptStep.h>

#include <array>

namespace peridothoist {

const char*
ToName(AttemptStep aStep)
{
  static constexpr std::array<const char*, kAttemptSteps> kNames = {
    "reserve", "prefill", "import", "decode", "call_plain", "finished"
  };
  return kNames[static_cast<std::size_t>(aStep)];
}

const char*
ToName(AttemptFailure aFailure)
{
  static constexpr std::array<const char*, kAttemptFailures> kNames = {
    "full",      "not_connected", "expired",  "error",
    "timed_out", "broken",        "withdrawn"
  };
  return kNames[static_cast<std::size_t>(aFailure)];
}

const AttemptPlan&
PlainPlan()
{
  static const AttemptPlan kPlan = { AttemptStep::CallPlain,
                                     AttemptStep::Finished };
  return kPlan;
}

const AttemptPlan&
EnginePlan(std::string_view aReserveStrategy)
{
  static const AttemptPlan kBefore = { AttemptStep::Reserve,
                                       AttemptStep::Prefill,
                                       AttemptStep::Import,
                                       AttemptStep::Decode,
                                       AttemptStep::Finished };
  static const AttemptPlan kAfter = { AttemptStep::Prefill,
                                      AttemptStep::Reserve,
                                      AttemptStep::Import,
                                      AttemptStep::Decode,
                                      AttemptStep::Finished };
  return aReserveStrategy == "after" ? kAfter : kBefore;
}

} // namespace peridothoist
