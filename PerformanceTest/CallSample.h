/// What became of one call of a benchmark.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::perf {

/// How a call ended, as its caller sees it.
enum class CallEnd
{
  Answered,    ///< Whole and right.
  Wrong,       ///< Whole, but not the answer to this request.
  RefusedRate, ///< 429: over the workspace's allowance.
  Refused,     ///< Any other error answer.
  Broken,      ///< The connection or the stream broke.
  Lost         ///< No end of any kind in time.
};

constexpr std::size_t kCallEnds = 6;

const char*
ToName(CallEnd aEnd);

/// Times and end of one call.
struct CallSample
{
  CallEnd mEnd = CallEnd::Lost;
  int mStatus = 0;
  Duration mFirst{};      ///< To the first token; else to the answer.
  Duration mTotal{};      ///< To the end of the answer.
  Duration mLongestGap{}; ///< Longest time between two tokens.
  std::uint32_t mTokens = 0;

  /// Mean time between tokens; zero with fewer than two.
  Duration MeanGap() const
  {
    return mTokens < 2 ? Duration::zero() : (mTotal - mFirst) / (mTokens - 1);
  }
};

} // namespace peridothoist::perf
