/// The platform stand-in behind HTTP: table service, object store and VM
/// list, with outages, delay, rates and lost answers. See docs/PLATFORM.md.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/RateMeter.h>
#include <StandIns/StandInHttp.h>
#include <StandIns/TableStore.h>

namespace peridothoist::standin {

/// How the platform stand-in behaves.
struct PlatformServiceSettings
{
  Duration mVmListLag = 2s;
  double mWritesPerSecond = 600;
  double mReadsPerSecond = 2000;
  std::uint64_t mSeed = 1;
};

/// How calls fail during an outage.
enum class OutageKind
{
  None,
  Refuse, ///< Answers 503.
  Silent, ///< Never answers.
  Close   ///< Closes the connection.
};

/// What tests set through POST /faults. Fields that a request leaves out keep
/// their value.
struct PlatformFaults
{
  OutageKind mOutage = OutageKind::None;
  Duration mDelay{};
  double mLoseAnswerProbability = 0;
  std::uint64_t mLoseNextAnswers = 0; ///< Changes that take effect unanswered.
};

/// Serves the platform's calls, and the tests' own (/faults, PUT /vms,
/// /stats), which no fault touches.
class PlatformService : public HttpRequestHandler
{
public:
  using Settings = PlatformServiceSettings;

  PlatformService(Reactor& aReactor, const Settings& aSettings);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// A call and what serves it.
  struct Call
  {
    const char* mMethod;
    const char* mPath; ///< Ends with '/': a prefix.
    void (PlatformService::*mServe)(HttpExchange& aExchange);
    bool mForTests; ///< Faults don't apply.
  };
  static const Call kCalls[8];

  void ServeWithFaults(const Call& aCall, const ExchangePtr& aExchange);

  // The platform's calls.
  void ServeTransaction(HttpExchange& aExchange);
  void ServeRows(HttpExchange& aExchange);
  void ServePutObject(HttpExchange& aExchange);
  void ServeGetObject(HttpExchange& aExchange);
  void ServeVms(HttpExchange& aExchange);

  // The tests' calls.
  void ServeFaults(HttpExchange& aExchange);
  void ServePutVms(HttpExchange& aExchange);
  void ServeStats(HttpExchange& aExchange);

  bool TakeRead(HttpExchange& aExchange);
  bool TakeWrite(HttpExchange& aExchange);
  bool LosesAnswer();

  OwnedTimers mTimers;
  Random mRandom;
  PlatformFaults mFaults;
  TableStore mTable;
  std::map<std::string, std::string> mObjects;
  LaggedValue<Json> mVms;
  RateMeter mWrites;
  RateMeter mReads;
  std::uint64_t mOutageAnswers = 0;
  std::vector<ExchangePtr> mUnanswered; ///< Held by a silent outage.
};

} // namespace peridothoist::standin
