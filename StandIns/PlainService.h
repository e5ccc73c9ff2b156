/// A plain service stand-in behind HTTP: answers a digest of each body, and
/// counts what it ran for each idempotency key and path.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/RequestLog.h>
#include <StandIns/StandInHttp.h>

namespace peridothoist::standin {

/// How a plain service stand-in behaves.
struct PlainServiceSettings
{
  Duration mRunTime = 5ms;         ///< From a call's arrival to its effect.
  std::size_t mAnswerPadBytes = 0; ///< Filling added to each answer.
  std::uint32_t mConcurrency = 64; ///< Calls that run at once.
  Duration mLoadLag = 200ms;
  bool mKeepLog = true; ///< Keeps what GET /log shows.
};

/// What tests set through POST /faults.
struct PlainFaults
{
  std::uint64_t mCloseNext = 0;    ///< Runs, then closes without an answer.
  std::uint64_t mTruncateNext = 0; ///< Runs, then cuts the answer midway.
  std::uint64_t mFailNext = 0;     ///< Answers 500 without running.
  std::uint64_t mRefuseNext = 0;   ///< Answers 503 without running.
  Duration mDelay{};               ///< Added to the run time.
};

/// Counts runs by idempotency key and path. No input or output.
class RunCounter
{
public:
  /// Counts a run and returns how often it ran so far.
  std::uint64_t Count(const std::string& aKey, const std::string& aPath);

  /// All counts as {"key path": n}.
  Json ToJson() const;

private:
  std::map<std::string, std::uint64_t> mRuns;
};

/// Serves any path as a call to run, besides the tests' own.
class PlainService : public HttpRequestHandler
{
public:
  using Settings = PlainServiceSettings;

  PlainService(Reactor& aReactor, const Settings& aSettings);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// A call and what serves it.
  struct Call
  {
    const char* mMethod;
    const char* mPath;
    void (PlainService::*mServe)(HttpExchange& aExchange);
  };
  static const Call kCalls[5];

  void ServeRan(HttpExchange& aExchange);
  void ServeLoad(HttpExchange& aExchange);
  void ServeLog(HttpExchange& aExchange);
  void ServeFaults(HttpExchange& aExchange);
  void ServeCancel(HttpExchange& aExchange);

  void Start(const ExchangePtr& aExchange);
  void Run(HttpExchange& aExchange);
  void Answer(HttpExchange& aExchange, const std::string& aBody);

  OwnedTimers mTimers;
  Settings mSettings;
  PlainFaults mFaults;
  RunCounter mRuns;
  RequestLog mLog;
  std::uint32_t mRunning = 0;
  std::vector<ExchangePtr> mWaiting; ///< In order of arrival.
};

} // namespace peridothoist::standin
