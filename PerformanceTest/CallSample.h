/// Result and times of one call of a benchmark.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::perf {

/// The result of a call as its caller sees it.
enum class SampleResult
{
  Answered,    ///< Complete and correct.
  Wrong,       ///< Complete, but not as expected for this request.
  RefusedRate, ///< 429: over the workspace's allowance.
  Refused,     ///< Any other error response.
  Broken,      ///< Connection or stream broke off.
  Lost         ///< Did not end within the timeout.
};

constexpr std::size_t kSampleResultCount = 6;

/// Returns the name that benchmarks print.
const char*
ToName(SampleResult aResult);

/// Result and times of one call.
struct CallSample
{
  SampleResult mResult = SampleResult::Lost;
  int mStatus = 0;
  Duration mTimeToFirstToken{}; ///< Of a stream; else total time.
  Duration mTotalTime{};        ///< To the end of the response.
  Duration mMaxTokenGap{};      ///< Maximum time between two tokens.
  std::uint32_t mTokens = 0;

  /// Returns the mean time between tokens, or zero with fewer than two.
  Duration MeanTokenGap() const
  {
    return mTokens < 2 ? Duration::zero()
                       : (mTotalTime - mTimeToFirstToken) / (mTokens - 1);
  }
};

} // namespace peridothoist::perf
