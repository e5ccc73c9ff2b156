/// Counters of the entry's request handling, for metrics and tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

#include <array>

namespace peridothoist {

/// Counters, which never decrease.
struct EntryCounters
{
  std::uint64_t mArrived = 0;     ///< Requests.
  std::uint64_t mCompleted = 0;   ///< Complete responses and streams.
  std::uint64_t mAborted = 0;     ///< Streams that ended with an error event.
  std::uint64_t mCallersGone = 0; ///< Disconnected before the final response.
  std::array<std::uint64_t, kRefusalKinds> mRefused{}; ///< By RefusalKind.
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mHedgesWon = 0;      ///< Hedges whose response was used.
  std::uint64_t mResumed = 0;        ///< Streams resumed on another engine.
  std::uint64_t mReserveRefused = 0; ///< Reservations refused with 409.
  std::uint64_t mPrefills = 0;       ///< Started prefills.
  std::uint64_t mPrefillsWasted = 0; ///< Prefills never decoded from.
  std::uint64_t mQuarantined = 0;    ///< Digests quarantined by this entry.
  std::uint64_t mUpstreamDeaths = 0;
  std::uint64_t mEventsDropped = 0; ///< Late, duplicate or out of order.
  std::uint64_t mCancelsSent = 0;   ///< Including resent ones.
};

} // namespace peridothoist
