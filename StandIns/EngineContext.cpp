/// Fault settings and crash prompts of an engine stand-in.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>

namespace peridothoist::standin {

void
EngineFaults::Update(const Json& aBody)
{
  mFailNext = UnsignedField(aBody, "fail_next", mFailNext);
  mLoseCancels = UnsignedField(aBody, "lose_cancels", mLoseCancels);
  mStallImports = UnsignedField(aBody, "stall_imports", mStallImports);
  mLoseResponses = UnsignedField(aBody, "lose_answers", mLoseResponses);
  mDropStreamAfter =
    UnsignedField(aBody, "drop_stream_after", mDropStreamAfter);
  mSlowdownFactor = DoubleField(aBody, "slow_factor", mSlowdownFactor);
  if (aBody.contains("delay_ms")) {
    mDelay = std::chrono::milliseconds(UnsignedField(aBody, "delay_ms"));
  }
}

bool
EngineContext::CrashIfTriggered(const std::string& aPrompt) const
{
  if (mSettings.mCrashPromptText.empty() ||
      aPrompt.find(mSettings.mCrashPromptText) == std::string::npos) {
    return false;
  }
  mCrash();
  return true;
}

void
EngineContext::LogExecution(const std::string& aOperation,
                            const std::string& aRequest) const
{
  if (mSettings.mIsLogEnabled) {
    mLog.AddExecuted(Now(), aOperation, aRequest);
  }
}

} // namespace peridothoist::standin
