#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/AdmissionPolicy.h>

#include <algorithm>

namespace peridothoist {

namespace {

constexpr double kMaxWaitSeconds = 3600; ///< Bound of estimated waits.

/// The strategy "early": refuses requests that cannot be served in time at the
/// observed service rate.
class EarlyAdmission : public AdmissionPolicy
{
public:
  // See: AdmissionPolicy
  std::optional<Duration> RetryAfterIfRefused(
    const AdmissionQuery& aQuery) const override
  {
    const Duration wait = EstimateWait(aQuery);
    // Without a backlog the time to first byte is ignored and the request is
    // admitted: it is only an estimate, which only further requests can
    // correct.
    const Duration firstByte = wait > Duration(0)
                                 ? aQuery.mServiceRate->TypicalFirstByteTime()
                                 : Duration(0);
    const Duration needed = wait + firstByte;
    if (needed <= aQuery.mTimeLeft) {
      return std::nullopt;
    }
    return needed - aQuery.mTimeLeft;
  }

private:
  static Duration EstimateWait(const AdmissionQuery& aQuery)
  {
    const std::optional<double> rate = aQuery.mServiceRate->CostPerSecond();
    if (!rate || aQuery.mQueue->Length() == 0) {
      return Duration(0);
    }
    const Backlog ahead = aQuery.mQueue->BacklogAhead(
      aQuery.mWorkspace, aQuery.mClass, aQuery.mCost);
    const double seconds = std::min(ahead.mCostAhead / *rate, kMaxWaitSeconds);
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }
};

/// The strategy "deadline": admits all requests whose deadline has not passed.
class DeadlineAdmission : public AdmissionPolicy
{
public:
  // See: AdmissionPolicy
  std::optional<Duration> RetryAfterIfRefused(
    const AdmissionQuery& aQuery) const override
  {
    if (aQuery.mTimeLeft > Duration(0)) {
      return std::nullopt;
    }
    return Duration(0);
  }
};

} // namespace

std::unique_ptr<AdmissionPolicy>
AdmissionPolicy::Create(std::string_view aStrategy)
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
