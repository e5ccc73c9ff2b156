/// Faults and crash texts of an engine stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>

namespace peridothoist::standin {

void
EngineFaults::Read(const Json& aBody)
{
  mFailNext = NumberField(aBody, "fail_next", mFailNext);
  mLoseCancels = NumberField(aBody, "lose_cancels", mLoseCancels);
  mStallImports = NumberField(aBody, "stall_imports", mStallImports);
  mLoseAnswers = NumberField(aBody, "lose_answers", mLoseAnswers);
  mDropStreamAfter = NumberField(aBody, "drop_stream_after", mDropStreamAfter);
  mSlowFactor = RealField(aBody, "slow_factor", mSlowFactor);
  if (aBody.contains("delay_ms")) {
    mDelay = std::chrono::milliseconds(NumberField(aBody, "delay_ms"));
  }
}

bool
EngineContext::CrashesOn(const std::string& aPrompt) const
{
  if (mSettings.mCrashOn.empty() ||
      aPrompt.find(mSettings.mCrashOn) == std::string::npos) {
    return false;
  }
  mCrash();
  return true;
}

void
EngineContext::NoteRan(const std::string& aWhat,
                       const std::string& aRequest) const
{
  if (mSettings.mKeepLog) {
    mLog.Ran(Now(), aWhat, aRequest);
  }
}

} // namespace peridothoist::standin
