/// Decides on arrival whether a request can still be answered in time.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/ServiceRate.h>

namespace peridothoist {

/// What an admission strategy looks at.
struct AdmissionQuestion
{
  const RequestQueue* mQueue = nullptr;
  const ServiceRate* mRate = nullptr;
  std::string mWorkspace;
  RequestClass mClass = RequestClass::Draft;
  double mCost = 1;
  Duration mTimeLeft{ 0 }; ///< Until the deadline.
};

/// A strategy of admission, chosen by name.
class Admission
{
public:
  virtual ~Admission() = default;

  /// Makes a strategy by name ("early", "deadline"); null for others.
  static std::unique_ptr<Admission> Create(std::string_view aStrategy);

  /// Nothing when the request is let in, else how long after now it would
  /// make sense to come back.
  virtual std::optional<Duration> RefuseFor(
    const AdmissionQuestion& aQuestion) const = 0;
};

} // namespace peridothoist
