/// Client of the control processes' admin API for the command line.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>

#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kHttpMisdirectedRequest = 421;

} // namespace

ControlClient::ControlClient(const Settings& aSettings)
  : mSettings(aSettings)
{
}

ControlResponse
ControlClient::Send(const ControlRequest& aRequest)
{
  ControlResponse response;
  response.mText = "no control process is configured";
  for (const std::string& it : mSettings.mControls) {
    response = SendTo(it, aRequest);
    const bool shouldTryNext =
      response.mStatus == kHttpMisdirectedRequest ||
      (response.mStatus == 0 &&
       (!response.mIsInDoubt || aRequest.mMethod == "GET"));
    if (!shouldTryNext) {
      return response;
    }
  }
  return response;
}

ControlResponse
ControlClient::SendTo(const std::string& aControl,
                      const ControlRequest& aRequest) const
{
  HttpCall call;
  call.mMethod = aRequest.mMethod;
  call.mUrl = aControl + aRequest.mPath;
  call.mHeaders = { { "authorization", "Bearer " + mSettings.mOperatorKey },
                    { "content-type", "application/json" } };
  call.mBody = aRequest.mBody.is_null() ? "" : aRequest.mBody.dump();
  call.mConnectTimeout = mSettings.mConnectTimeout;
  call.mTotalTimeout = mSettings.mTotalTimeout;
  call.mSendOnce = true;
  const auto reactor = Reactor::Create();
  const auto client = reactor ? HttpClient::Create(*reactor) : nullptr;
  PH_ASSERT(client != nullptr);
  ControlResponse response;
  client->Fetch(std::move(call),
                [&](const HttpCallResult& aResult, const std::string& aBody) {
                  reactor->Stop();
                  if (aResult.mFailure != CallFailure::None) {
                    response.mIsInDoubt = aResult.mMayHaveBeenSent;
                    response.mText = aControl + ": " + aResult.mReason;
                    return;
                  }
                  response.mStatus = aResult.mStatus;
                  response.mBody = json::parse(aBody, nullptr, false);
                });
  reactor->Run();
  if (!response.mBody.is_object()) {
    response.mBody = json::object();
  }
  return response;
}

} // namespace peridothoist
