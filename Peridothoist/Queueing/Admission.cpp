#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/Admission.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr double kLongestWaitSeconds = 3600;

/// The strategy "early": refuses what the observed rate can't serve in time.
class EarlyAdmission : public Admission
{
public:
  // See: Admission
  std::optional<Duration> RefuseFor(
    const AdmissionQuestion& aQuestion) const override
  {
    const Duration wait = Wait(aQuestion);
    // With nothing ahead it is tried: the time to the first byte is a guess
    // that only further tries can correct.
    const Duration firstByte =
      wait > Duration(0) ? aQuestion.mRate->FirstByteTime() : Duration(0);
    const Duration needed = wait + firstByte;
    if (needed <= aQuestion.mTimeLeft) {
      return std::nullopt;
    }
    return needed - aQuestion.mTimeLeft;
  }

private:
  static Duration Wait(const AdmissionQuestion& aQuestion)
  {
    const std::optional<double> rate = aQuestion.mRate->Get();
    if (!rate || aQuestion.mQueue->Length() == 0) {
      return Duration(0);
    }
    const Backlog ahead = aQuestion.mQueue->Ahead(
      aQuestion.mWorkspace, aQuestion.mClass, aQuestion.mCost);
    const double seconds =
      std::min(ahead.mCostAhead / *rate, kLongestWaitSeconds);
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }
};

/// The strategy "deadline": lets all in that still has time.
class DeadlineAdmission : public Admission
{
public:
  // See: Admission
  std::optional<Duration> RefuseFor(
    const AdmissionQuestion& aQuestion) const override
  {
    if (aQuestion.mTimeLeft > Duration(0)) {
      return std::nullopt;
    }
    return Duration(0);
  }
};

} // namespace

std::unique_ptr<Admission>
Admission::Create(std::string_view aStrategy)
{
  if (aStrategy == "early") {
    return std::make_unique<EarlyAdmission>();
  }
  if (aStrategy == "deadline") {
    return std::make_unique<DeadlineAdmission>();
  }
  return nullptr;
}

} // namespace peridothoist
