#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayCommand.h>

#include <array>

namespace peridothoist {

namespace {

constexpr int kRequestTimeout = 408;
constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

} // namespace

bool
ImpliesNotRun(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kUnavailable ||
         aStatus == kRequestTimeout || aStatus == kMisdirected;
}

const char*
ToName(RelayCommandKind aKind)
{
  static constexpr std::array<const char*, 14> kNames = {
    "start_call",     "cancel_call",  "release_handle",  "release_reservation",
    "send_head",      "send_event",   "send_answer",     "send_refusal",
    "end_stream",     "abort_stream", "announce_origin", "find_origin",
    "check_upstream", "forget"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

const char*
ToName(UpstreamCheck aCheck)
{
  static constexpr std::array<const char*, 4> kNames = {
    "alive", "gone", "not_reached", "unknown"
  };
  return kNames[static_cast<std::size_t>(aCheck)];
}

const char*
ToName(CancelReason aReason)
{
  static constexpr std::array<const char*, kCancelReasons> kNames = {
    "caller_gone", "deadline_passed", "silent",
    "not_needed",  "vm_leaves",       "no_continuation"
  };
  return kNames[static_cast<std::size_t>(aReason)];
}

const char*
ToName(RelayCallKind aKind)
{
  static constexpr std::array<const char*, 4> kNames = {
    "whole", "prefill", "stream", "reserve"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

} // namespace peridothoist
