/// State that the decode and prefill services of an engine stand-in share:
/// settings, faults, log, timers and the crash function.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/RequestLog.h>
#include <StandIns/StandInHttp.h>

namespace peridothoist::standin {

/// Settings of an engine stand-in.
struct EngineSettings
{
  std::string mRole = "decode";
  std::string mModel;

  // Decode.
  std::uint32_t mMemoryPieces = 20;
  std::uint32_t mPieceTokens = 4096;
  DecodeBatchSettings mBatch;
  double mLinkBytesPerSecond = 2e9;
  Duration mLinkMaxWait = 1s; ///< A transfer with a longer wait is rejected.

  // Prefill.

  /// Prefill time of an uncached prompt token.
  std::chrono::duration<double, std::micro> mPrefillTimePerToken{ 50 };

  Duration mPrefillResultLifetime = 800ms;
  std::uint32_t mMaxQueuedPrefills = 16;
  std::uint64_t mKvBytesPerToken = 100000;
  std::size_t mMaxCacheEntries = 64;
  Duration mCacheEventDelay = 300ms;
  double mCacheEventLossProbability = 0.1; ///< Probability of losing an event.

  // Both roles.
  Duration mLoadLag = 200ms;
  Duration mOrderDelay{}; ///< From an order's arrival to its execution.
  bool mChecksFence = false;
  bool mIsLogEnabled = true; ///< Records requests for GET /log.

  /// A prompt that contains this text crashes the engine. Empty for none.
  std::string mCrashPromptText;
};

/// Faults that tests inject through POST /faults. Fields that are absent from a
/// request keep their value.
struct EngineFaults
{
  std::uint64_t mFailNext = 0;     ///< Calls that fail with 500 and do nothing.
  std::uint64_t mLoseCancels = 0;  ///< Cancels that are closed and do nothing.
  std::uint64_t mStallImports = 0; ///< Imports that never finish.
  std::uint64_t mLoseResponses = 0;   ///< Orders applied without a response.
  std::uint64_t mDropStreamAfter = 0; ///< Aborts next stream after N tokens.
  double mSlowdownFactor = 1.0;       ///< Multiplies execution times.
  Duration mDelay{};                  ///< Delay before each call.

  /// Sets the fields that are present in a request body.
  void Update(const Json& aBody);
};

/// References to the shared state. Everything that survives a crash of the
/// engine is owned by EngineHost.
struct EngineContext
{
  const EngineSettings& mSettings;
  EngineFaults& mFaults;
  RequestLog& mLog;
  Random& mRandom;
  HttpClient& mClient;
  OwnedTimers& mTimers;
  std::function<void()> mCrash; ///< Stops the engine in a later event.

  TimePoint Now() const { return mTimers.Now(); }

  /// Returns an execution time multiplied by the slowdown factor.
  template<class Time>
  Duration ApplySlowdown(Time aTime) const
  {
    return std::chrono::duration_cast<Duration>(aTime *
                                                mFaults.mSlowdownFactor);
  }

  /// Crashes the engine if the prompt contains mCrashPromptText. Returns
  /// whether it did.
  bool CrashIfTriggered(const std::string& aPrompt) const;

  /// Records an executed operation if the log is enabled.
  void LogExecution(const std::string& aOperation,
                    const std::string& aRequest) const;
};

} // namespace peridothoist::standin
