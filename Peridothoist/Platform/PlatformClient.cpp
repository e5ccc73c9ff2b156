/// Calls the platform over HTTP.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/PlatformClient.h>

#include <Peridothoist/Platform/PlatformCodec.h>

#include <algorithm>
#include <cmath>

namespace peridothoist {

PlatformClient::PlatformClient(Reactor& aReactor,
                               HttpClient& aHttp,
                               const Settings& aSettings)
  : mReactor(aReactor)
  , mHttp(aHttp)
  , mSettings(aSettings)
  , mTokens(aSettings.mBurstCalls)
  , mLastRefill(aReactor.Now())
{
}

PlatformClient::~PlatformClient()
{
  mReactor.CancelTimer(mTimer);
}

void
PlatformClient::Commit(const TableTransaction& aTransaction,
                       TransactionCallback aCallback)
{
  HttpCall call = MakeCall("POST", "/tables/txn");
  call.mHeaders["content-type"] = "application/json";
  call.mBody = EncodeTransaction(aTransaction);
  call.mTotalTimeout = mSettings.mWriteTimeout;
  call.mSendOnce = true;
  Enqueue(std::move(call),
          [aCallback = std::move(aCallback)](const HttpCallResult& aCallResult,
                                             const std::string& aBody) {
            aCallback(DecodeTransaction(aCallResult, aBody));
          });
}

void
PlatformClient::Scan(const std::string& aFrom,
                     const std::string& aTo,
                     std::size_t aLimit,
                     ScanCallback aCallback)
{
  const std::string path = "/tables/rows?from=" + EncodeQueryValue(aFrom) +
                           "&to=" + EncodeQueryValue(aTo) +
                           "&limit=" + std::to_string(aLimit);
  Enqueue(MakeCall("GET", path),
          [aCallback = std::move(aCallback)](const HttpCallResult& aCallResult,
                                             const std::string& aBody) {
            aCallback(DecodeScan(aCallResult, aBody));
          });
}

void
PlatformClient::PutObject(const std::string& aName,
                          std::string aBody,
                          PutCallback aCallback)
{
  HttpCall call = MakeCall("PUT", "/objects/" + EncodeQueryValue(aName));
  call.mBody = std::move(aBody);
  call.mTotalTimeout = mSettings.mObjectTimeout;
  Enqueue(std::move(call),
          [aCallback = std::move(aCallback)](const HttpCallResult& aCallResult,
                                             const std::string&) {
            aCallback(aCallResult.mFailure == CallFailure::None &&
                      aCallResult.mStatus / 100 == 2);
          });
}

void
PlatformClient::GetObject(const std::string& aName, ObjectCallback aCallback)
{
  HttpCall call = MakeCall("GET", "/objects/" + EncodeQueryValue(aName));
  call.mTotalTimeout = mSettings.mObjectTimeout;
  Enqueue(std::move(call),
          [aCallback = std::move(aCallback)](const HttpCallResult& aCallResult,
                                             std::string aBody) {
            aCallback(DecodeObject(aCallResult, std::move(aBody)));
          });
}

void
PlatformClient::ListVms(VmListCallback aCallback)
{
  Enqueue(MakeCall("GET", "/vms"),
          [aCallback = std::move(aCallback)](const HttpCallResult& aCallResult,
                                             const std::string& aBody) {
            aCallback(DecodeVmList(aCallResult, aBody));
          });
}

HttpCall
PlatformClient::MakeCall(const char* aMethod, const std::string& aPath) const
{
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = mSettings.mUrl + aPath;
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = mSettings.mReadTimeout;
  return call;
}

void
PlatformClient::Enqueue(HttpCall aCall, HttpClient::FetchCallback aCallback)
{
  if (mQueue.size() >= mSettings.mMaxQueuedCalls) {
    HttpCallResult callResult;
    callResult.mFailure = CallFailure::NotConnected;
    callResult.mReason = "the queue of platform calls is full";
    mReactor.Post([aCallback = std::move(aCallback), callResult] {
      aCallback(callResult, {});
    });
    return;
  }
  mQueue.push_back({ std::move(aCall), std::move(aCallback) });
  SendQueued();
}

void
PlatformClient::RefillTokens()
{
  const TimePoint now = mReactor.Now();
  const std::chrono::duration<double> passed = now - mLastRefill;
  mLastRefill = now;
  mTokens = std::min(mSettings.mBurstCalls,
                     mTokens + passed.count() * mSettings.mCallsPerSecond);
}

void
PlatformClient::SendQueued()
{
  RefillTokens();
  while (!mQueue.empty() && mTokens >= 1) {
    mTokens -= 1;
    QueuedCall next = std::move(mQueue.front());
    mQueue.pop_front();
    mHttp.Fetch(std::move(next.mCall), std::move(next.mCallback));
  }
  if (mQueue.empty() || mTimer != 0) {
    return;
  }
  const double seconds = (1 - mTokens) / mSettings.mCallsPerSecond;
  const Duration wait(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
  mTimer = mReactor.Schedule(wait, [this] {
    mTimer = 0;
    SendQueued();
  });
}

} // namespace peridothoist
