/// Calls the platform over HTTP, as docs/PLATFORM.md describes. Limits its own
/// call rate, so that one process can't exhaust the service.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Address and limits of a platform client.
struct PlatformClientSettings
{
  std::string mUrl; ///< "http://ip:port".
  Duration mConnectTimeout = std::chrono::milliseconds(500);
  /// Timeout of reads; well below the staleness limit of views, so that an
  /// outage without any responses is detected in time.
  Duration mReadTimeout = std::chrono::milliseconds(700);
  Duration mWriteTimeout = std::chrono::seconds(1);
  Duration mObjectTimeout = std::chrono::seconds(10);
  double mCallsPerSecond = 200;
  double mBurstCalls = 200;
  std::size_t mMaxQueuedCalls = 4096; ///< Further calls fail as NotReached.
};

/// Client of the real platform with a token bucket as rate limit.
class PlatformClient : public Platform
{
public:
  using Settings = PlatformClientSettings;

  PlatformClient(Reactor& aReactor,
                 HttpClient& aHttp,
                 const Settings& aSettings);
  ~PlatformClient() override;
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // See: Platform
  void Commit(const TableTransaction& aTransaction,
              TransactionCallback aCallback) override;
  void Scan(const std::string& aFrom,
            const std::string& aTo,
            std::size_t aLimit,
            ScanCallback aCallback) override;
  void PutObject(const std::string& aName,
                 std::string aBody,
                 PutCallback aCallback) override;
  void GetObject(const std::string& aName, ObjectCallback aCallback) override;
  void ListVms(VmListCallback aCallback) override;

private:
  struct QueuedCall
  {
    HttpCall mCall;
    HttpClient::FetchCallback mCallback;
  };

  HttpCall MakeCall(const char* aMethod, const std::string& aPath) const;
  void Enqueue(HttpCall aCall, HttpClient::FetchCallback aCallback);
  void RefillTokens();
  void SendQueued();

  Reactor& mReactor;
  HttpClient& mHttp;
  Settings mSettings;

  // Token bucket: each call takes one token.
  double mTokens;
  TimePoint mLastRefill;
  std::deque<QueuedCall> mQueue; ///< Calls that wait for a token; FIFO.
  Reactor::TimerId mTimer = 0;   ///< Set while the queue is not empty.
};

} // namespace peridothoist
