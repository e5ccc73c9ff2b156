/// Decides on arrival whether a request is expected to meet its deadline.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/ServiceRateEstimator.h>

namespace peridothoist {

/// Inputs of an admission decision.
struct AdmissionQuery
{
  const RequestQueue* mQueue = nullptr;
  const ServiceRateEstimator* mServiceRate = nullptr;
  std::string mWorkspace;
  RequestClass mClass = RequestClass::Draft;
  double mCost = 1;
  Duration mTimeLeft{ 0 }; ///< Until the deadline.
};

/// An admission strategy, selected by name.
class AdmissionPolicy
{
public:
  virtual ~AdmissionPolicy() = default;

  /// Creates a strategy by name ("early", "deadline"); returns null for other
  /// names.
  static std::unique_ptr<AdmissionPolicy> Create(std::string_view aStrategy);

  /// Returns nullopt if the request is admitted. If it is refused, returns the
  /// time after which a retry may be admitted.
  virtual std::optional<Duration> RetryAfterIfRefused(
    const AdmissionQuery& aQuery) const = 0;
};

} // namespace peridothoist
