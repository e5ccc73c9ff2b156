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
  , mRefilled(aReactor.Now())
{
}

PlatformClient::~PlatformClient()
{
  mReactor.CancelTimer(mTimer);
}

void
PlatformClient::Commit(const TableTransaction& aTransaction,
                       TransactionDone aDone)
{
  HttpCall call = MakeCall("POST", "/tables/txn");
  call.mHeaders["content-type"] = "application/json";
  call.mBody = EncodeTransaction(aTransaction);
  call.mTotalTimeout = mSettings.mWriteTimeout;
  call.mSendOnce = true;
  Send(std::move(call),
       [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                  const std::string& aBody) {
         aDone(DecodeTransaction(aOutcome, aBody));
       });
}

void
PlatformClient::Scan(const std::string& aFrom,
                     const std::string& aTo,
                     std::size_t aLimit,
                     ScanDone aDone)
{
  const std::string path = "/tables/rows?from=" + EncodeQueryValue(aFrom) +
                           "&to=" + EncodeQueryValue(aTo) +
                           "&limit=" + std::to_string(aLimit);
  Send(MakeCall("GET", path),
       [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                  const std::string& aBody) {
         aDone(DecodeScan(aOutcome, aBody));
       });
}

void
PlatformClient::PutObject(const std::string& aName,
                          std::string aBody,
                          PutDone aDone)
{
  HttpCall call = MakeCall("PUT", "/objects/" + EncodeQueryValue(aName));
  call.mBody = std::move(aBody);
  call.mTotalTimeout = mSettings.mObjectTimeout;
  Send(std::move(call),
       [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                  const std::string&) {
         aDone(aOutcome.mFailure == CallFailure::None &&
               aOutcome.mStatus / 100 == 2);
       });
}

void
PlatformClient::GetObject(const std::string& aName, ObjectDone aDone)
{
  HttpCall call = MakeCall("GET", "/objects/" + EncodeQueryValue(aName));
  call.mTotalTimeout = mSettings.mObjectTimeout;
  Send(std::move(call),
       [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                  std::string aBody) {
         aDone(DecodeObject(aOutcome, std::move(aBody)));
       });
}

void
PlatformClient::ListVms(VmListDone aDone)
{
  Send(MakeCall("GET", "/vms"),
       [aDone = std::move(aDone)](const HttpCallOutcome& aOutcome,
                                  const std::string& aBody) {
         aDone(DecodeVmList(aOutcome, aBody));
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
PlatformClient::Send(HttpCall aCall, HttpClient::WholeAnswer aDone)
{
  if (mWaiting.size() >= mSettings.mMaxWaiting) {
    HttpCallOutcome outcome;
    outcome.mFailure = CallFailure::NotConnected;
    outcome.mReason = "too many calls wait";
    mReactor.Post([aDone = std::move(aDone), outcome] { aDone(outcome, {}); });
    return;
  }
  mWaiting.push_back({ std::move(aCall), std::move(aDone) });
  Pump();
}

void
PlatformClient::Refill()
{
  const TimePoint now = mReactor.Now();
  const std::chrono::duration<double> passed = now - mRefilled;
  mRefilled = now;
  mTokens = std::min(mSettings.mBurstCalls,
                     mTokens + passed.count() * mSettings.mCallsPerSecond);
}

void
PlatformClient::Pump()
{
  Refill();
  while (!mWaiting.empty() && mTokens >= 1) {
    mTokens -= 1;
    Waiting next = std::move(mWaiting.front());
    mWaiting.pop_front();
    mHttp.Fetch(std::move(next.mCall), std::move(next.mDone));
  }
  if (mWaiting.empty() || mTimer != 0) {
    return;
  }
  const double seconds = (1 - mTokens) / mSettings.mCallsPerSecond;
  const Duration wait(static_cast<Duration::rep>(std::ceil(seconds * 1e6)));
  mTimer = mReactor.Schedule(wait, [this] {
    mTimer = 0;
    Pump();
  });
}

} // namespace peridothoist
