/// What the parts of an engine stand-in share: its settings, faults, log,
/// timers and the way to die.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/RequestLog.h>
#include <StandIns/StandInHttp.h>

namespace peridothoist::standin {

/// How an engine stand-in behaves.
struct EngineSettings
{
  std::string mRole = "decode";
  std::string mModel;

  // Decode.
  std::uint32_t mMemoryPieces = 20;
  std::uint32_t mPieceTokens = 4096;
  DecodeBatchSettings mBatch;
  double mLinkBytesPerSecond = 2e9;
  Duration mLinkMaxWait = 1s; ///< A transfer that would wait longer is refused.

  // Prefill.
  std::chrono::duration<double, std::micro> mPrefillTokenTime{
    50
  }; ///< For each prompt token that is not cached.
  Duration mPrefillKeep = 800ms;
  std::uint32_t mPrefillQueue = 16;
  std::uint64_t mKvBytesPerToken = 100000;
  std::size_t mCacheEntries = 64;
  Duration mCacheEventDelay = 300ms;
  double mCacheEventLoss = 0.1; ///< Probability that an event never appears.

  // Both.
  Duration mLoadLag = 200ms;
  Duration mOrderTime{}; ///< From an order's arrival to its effect.
  bool mChecksFence = false;
  bool mKeepLog = true; ///< Keeps what GET /log shows.
  std::string mCrashOn; ///< Dies when it runs a prompt that contains this.
};

/// What tests set through POST /faults. Fields that a request leaves out keep
/// their value.
struct EngineFaults
{
  std::uint64_t mFailNext = 0;        ///< Calls answered 500 without effect.
  std::uint64_t mLoseCancels = 0;     ///< Cancels closed without effect.
  std::uint64_t mStallImports = 0;    ///< Transfers that never end.
  std::uint64_t mLoseAnswers = 0;     ///< Calls with effect but no answer.
  std::uint64_t mDropStreamAfter = 0; ///< Cuts the next stream after N tokens.
  double mSlowFactor = 1.0;           ///< Multiplies run times.
  Duration mDelay{};                  ///< Before any call is served.

  /// Takes over the fields that a request body has.
  void Read(const Json& aBody);
};

/// Everything that outlives a crash of the engine belongs to its host; this
/// refers to it.
struct EngineContext
{
  const EngineSettings& mSettings;
  EngineFaults& mFaults;
  RequestLog& mLog;
  Random& mRandom;
  HttpClient& mClient;
  OwnedTimers& mTimers;
  std::function<void()> mCrash; ///< Ends the engine from a later event.

  TimePoint Now() const { return mTimers.Now(); }

  /// A run time as the slow factor makes it.
  template<class Time>
  Duration Slowed(Time aTime) const
  {
    return std::chrono::duration_cast<Duration>(aTime * mFaults.mSlowFactor);
  }

  /// Dies if the prompt is one that crashes this engine.
  bool CrashesOn(const std::string& aPrompt) const;

  /// Notes what was run.
  void NoteRan(const std::string& aWhat, const std::string& aRequest) const;
};

} // namespace peridothoist::standin
