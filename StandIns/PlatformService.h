/// HTTP interface of the platform stand-in: table service, object store and VM
/// list, with injected outages, delays and lost responses and with rate limits.
/// See docs/PLATFORM.md.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/OperationRateLimiter.h>
#include <StandIns/StandInHttp.h>
#include <StandIns/TableStore.h>

namespace peridothoist::standin {

/// Settings of the platform stand-in.
struct PlatformServiceSettings
{
  Duration mVmListLag = 2s;
  double mWritesPerSecond = 600;
  double mReadsPerSecond = 2000;
  std::uint64_t mSeed = 1;
};

/// Behaviour of calls during an outage.
enum class OutageKind
{
  None,
  Refuse, ///< Responds 503.
  Silent, ///< Never responds.
  Close   ///< Closes the connection.
};

/// Faults that tests inject through POST /faults. Fields that are absent from a
/// request keep their value.
struct PlatformFaults
{
  OutageKind mOutage = OutageKind::None;
  Duration mDelay{};
  double mLoseResponseProbability = 0;
  std::uint64_t mLoseNextResponses = 0; ///< Changes applied without a response.
};

/// Handles the platform's calls and the test calls (/faults, PUT /vms, /stats),
/// which are exempt from faults.
class PlatformService : public HttpRequestHandler
{
public:
  using Settings = PlatformServiceSettings;

  PlatformService(Reactor& aReactor, const Settings& aSettings);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// An HTTP call and its handler.
  struct Call
  {
    const char* mMethod;
    const char* mPath; ///< A path prefix if it ends with '/'.
    void (PlatformService::*mHandler)(HttpExchange& aExchange);
    bool mIsTestCall; ///< Exempt from faults.
  };
  static const Call kCalls[8];

  void ServeWithFaults(const Call& aCall, const ExchangePtr& aExchange);

  // Calls of the platform.
  void ServeTransaction(HttpExchange& aExchange);
  void ServeRows(HttpExchange& aExchange);
  void ServePutObject(HttpExchange& aExchange);
  void ServeGetObject(HttpExchange& aExchange);
  void ServeVms(HttpExchange& aExchange);

  // Calls for tests.
  void ServeFaults(HttpExchange& aExchange);
  void ServePutVms(HttpExchange& aExchange);
  void ServeStats(HttpExchange& aExchange);

  /// Applies the rate limit; responds 429 and returns false if it is exceeded.
  bool AdmitRead(HttpExchange& aExchange);
  bool AdmitWrite(HttpExchange& aExchange);

  /// Returns whether the response to the current change is to be lost, and uses
  /// up one of mLoseNextResponses.
  bool ShouldLoseResponse();

  OwnedTimers mTimers;
  Random mRandom;
  PlatformFaults mFaults;
  TableStore mTable;
  std::map<std::string, std::string> mObjects;
  LaggedValue<Json> mVms;
  OperationRateLimiter mWriteLimiter;
  OperationRateLimiter mReadLimiter;
  std::uint64_t mOutageCalls = 0;

  /// Exchanges that a Silent outage leaves open without a response.
  std::vector<ExchangePtr> mUnansweredExchanges;
};

} // namespace peridothoist::standin
