/// Counters of the entry's decisions, for metrics and tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

#include <array>

namespace peridothoist {

/// Each counter only goes up.
struct EntryCounters
{
  std::uint64_t mArrived = 0;
  std::uint64_t mAnswered = 0; ///< Whole answers and complete streams.
  std::uint64_t mAborted = 0;  ///< Streams that ended by an error event.
  std::uint64_t mCallersGone = 0;
  std::array<std::uint64_t, kRefusalKinds> mRefused{}; ///< By RefusalKind.
  std::uint64_t mRetries = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mHedgesWon = 0;
  std::uint64_t mResumed = 0;        ///< Streams that went on elsewhere.
  std::uint64_t mReserveRefused = 0; ///< 409 by an engine.
  std::uint64_t mPrefills = 0;       ///< Started.
  std::uint64_t mPrefillsWasted = 0; ///< Never decoded from.
  std::uint64_t mQuarantined = 0;    ///< Digests quarantined here.
  std::uint64_t mUpstreamDeaths = 0;
  std::uint64_t mEventsDropped = 0; ///< Late, duplicate or crossed.
  std::uint64_t mCancelsSent = 0;
};

} // namespace peridothoist
