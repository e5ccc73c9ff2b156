#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayCommand.h>

#include <array>

namespace peridothoist {

const char*
ToName(RelayCommandKind aKind)
{
  static constexpr std::array<const char*, 10> kNames = {
    "start_call",   "cancel_call", "release_handle", "send_head",
    "send_event",   "send_answer", "send_refusal",   "end_stream",
    "abort_stream", "forget"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

const char*
ToName(RelayCallKind aKind)
{
  static constexpr std::array<const char*, 3> kNames = { "whole",
                                                         "prefill",
                                                         "stream" };
  return kNames[static_cast<std::size_t>(aKind)];
}

} // namespace peridothoist
