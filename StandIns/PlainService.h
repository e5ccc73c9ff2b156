/// HTTP stand-in for a plain service: responds with a checksum of each body and
/// counts the executions for each idempotency key and path.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/RequestLog.h>
#include <StandIns/StandInHttp.h>

namespace peridothoist::standin {

/// Settings of a plain service stand-in.
struct PlainServiceSettings
{
  Duration mRunTime = 5ms;                ///< Time to execute one call.
  std::size_t mResponsePadBytes = 0;      ///< Padding added to each response.
  std::uint32_t mMaxConcurrentCalls = 64; ///< Further calls are queued.
  Duration mLoadLag = 200ms;
  bool mIsLogEnabled = true; ///< Records requests for GET /log.
};

/// Faults that tests inject through POST /faults. The counters give the number
/// of following calls that are affected.
struct PlainFaults
{
  std::uint64_t mCloseNext = 0;    ///< Executes, then closes the connection.
  std::uint64_t mTruncateNext = 0; ///< Executes, sends half a response.
  std::uint64_t mFailNext = 0;     ///< Responds 500 without executing the call.
  std::uint64_t mRefuseNext = 0;   ///< Responds 503 without executing the call.
  Duration mDelay{};               ///< Added to the execution time.
};

/// Counts executions by idempotency key and path. Performs no input or output.
class ExecutionCounter
{
public:
  /// Counts one execution and returns the number of executions so far.
  std::uint64_t CountExecution(const std::string& aKey,
                               const std::string& aPath);

  /// Returns all counts as {"key path": n}.
  Json ToJson() const;

private:
  std::map<std::string, std::uint64_t> mExecutions;
};

/// Executes a call to any path, except for the paths in kCalls, which it
/// handles itself.
class PlainService : public HttpRequestHandler
{
public:
  using Settings = PlainServiceSettings;

  PlainService(Reactor& aReactor, const Settings& aSettings);

  // See: HttpRequestHandler
  void OnRequest(std::shared_ptr<HttpExchange> aExchange) override;

private:
  /// An HTTP call and its handler.
  struct Call
  {
    const char* mMethod;
    const char* mPath;
    void (PlainService::*mHandler)(HttpExchange& aExchange);
  };
  static const Call kCalls[5];

  void ServeRan(HttpExchange& aExchange);
  void ServeLoad(HttpExchange& aExchange);
  void ServeLog(HttpExchange& aExchange);
  void ServeFaults(HttpExchange& aExchange);
  void ServeCancel(HttpExchange& aExchange);

  void StartCall(const ExchangePtr& aExchange);
  void ExecuteCall(HttpExchange& aExchange);
  void SendResponse(HttpExchange& aExchange, const std::string& aBody);

  OwnedTimers mTimers;
  Settings mSettings;
  PlainFaults mFaults;
  ExecutionCounter mExecutions;
  RequestLog mLog;
  std::uint32_t mRunning = 0;
  std::vector<ExchangePtr> mQueuedExchanges; ///< In order of arrival.
};

} // namespace peridothoist::standin
