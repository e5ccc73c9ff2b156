#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/RequestCommand.h>

#include <array>

namespace peridothoist {

const char*
ToName(RequestCommandKind aKind)
{
  static constexpr std::array<const char*, 16> kNames = {
    "insert_claim", "reserve",        "prefill",      "import",
    "decode",       "call_plain",     "cancel",       "send_head",
    "send_token",   "send_whole",     "send_refusal", "end_stream",
    "abort_stream", "record_outcome", "settle",       "forget"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

const char*
ToName(OutcomeState aState)
{
  static constexpr std::array<const char*, 3> kNames = { "not_run",
                                                         "may_have_run",
                                                         "done" };
  return kNames[static_cast<std::size_t>(aState)];
}

const char*
ToName(CallEnd aEnd)
{
  static constexpr std::array<const char*, 6> kNames = {
    "whole", "not_connected", "withheld", "timed_out", "broken", "cancelled"
  };
  return kNames[static_cast<std::size_t>(aEnd)];
}

const char*
ToName(DeathKind aKind)
{
  static constexpr std::array<const char*, 2> kNames = { "crashed",
                                                         "unreachable" };
  return kNames[static_cast<std::size_t>(aKind)];
}

} // namespace peridothoist
