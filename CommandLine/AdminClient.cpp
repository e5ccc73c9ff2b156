#include <Peridothoist/Peridothoist.h>
#include <CommandLine/AdminClient.h>

namespace peridothoist::ctl {

namespace {

using Json = nlohmann::json;

constexpr int kConflict = 409;

ExitCode
CodeOfStatus(int aStatus)
{
  if (aStatus >= 200 && aStatus < 300) {
    return ExitCode::Ok;
  }
  return aStatus == kConflict ? ExitCode::Conflict : ExitCode::Refused;
}

AdminAnswer
ToAnswer(const HttpCallOutcome& aOutcome, const std::string& aBody)
{
  AdminAnswer answer;
  answer.mStatus = aOutcome.mStatus;
  if (aOutcome.mFailure != CallFailure::None) {
    answer.mCode =
      aOutcome.mMayHaveBeenSent ? ExitCode::InDoubt : ExitCode::Unreachable;
    answer.mFailure = aOutcome.mReason;
    return answer;
  }
  answer.mCode = CodeOfStatus(aOutcome.mStatus);
  answer.mBody = Json::parse(aBody, nullptr, false);
  if (answer.mBody.is_discarded()) {
    answer.mBody = nullptr;
    answer.mFailure = aBody;
  }
  // The API says itself when a commit's answer was lost.
  if (answer.mBody.is_object() && answer.mBody.value("in_doubt", false)) {
    answer.mCode = ExitCode::InDoubt;
  }
  return answer;
}

} // namespace

std::unique_ptr<AdminClient>
AdminClient::Create(const Settings& aSettings)
{
  auto reactor = Reactor::Create();
  if (reactor == nullptr) {
    return nullptr;
  }
  auto client = HttpClient::Create(*reactor);
  if (client == nullptr) {
    return nullptr;
  }
  return std::unique_ptr<AdminClient>(
    new AdminClient(aSettings, std::move(reactor), std::move(client)));
}

AdminClient::AdminClient(const Settings& aSettings,
                         std::unique_ptr<Reactor> aReactor,
                         std::unique_ptr<HttpClient> aClient)
  : mSettings(aSettings)
  , mReactor(std::move(aReactor))
  , mClient(std::move(aClient))
{
}

AdminAnswer
AdminClient::Call(const char* aMethod,
                  const std::string& aPath,
                  const Json& aBody)
{
  const std::string body = aBody.is_null() ? std::string() : aBody.dump();
  const bool isRead = std::string_view(aMethod) == "GET";
  AdminAnswer answer;
  answer.mFailure = "no control process is given";
  for (const std::string& control : mSettings.mControls) {
    answer = CallOne(control, aMethod, aPath, body);
    const bool mayRepeat =
      answer.mCode == ExitCode::Unreachable ||
      (isRead && answer.mCode == ExitCode::InDoubt && answer.mStatus == 0);
    if (!mayRepeat) {
      return answer;
    }
  }
  if (isRead && answer.mStatus == 0) {
    answer.mCode = ExitCode::Unreachable;
  }
  return answer;
}

AdminAnswer
AdminClient::CallOne(const std::string& aControl,
                     const char* aMethod,
                     const std::string& aPath,
                     const std::string& aBody)
{
  HttpCall call;
  call.mMethod = aMethod;
  call.mUrl = aControl + aPath;
  call.mHeaders["authorization"] = "Bearer " + mSettings.mOperatorKey;
  call.mHeaders["content-type"] = "application/json";
  call.mBody = aBody;
  call.mTotalTimeout = mSettings.mTimeout;
  call.mSendOnce = true;
  AdminAnswer answer;
  mClient->Fetch(
    std::move(call),
    [&](const HttpCallOutcome& aOutcome, const std::string& aText) {
      answer = ToAnswer(aOutcome, aText);
      mReactor->Stop();
    });
  mReactor->Run();
  return answer;
}

void
AdminClient::Wait(Duration aDelay)
{
  mReactor->Schedule(aDelay, [this] { mReactor->Stop(); });
  mReactor->Run();
}

} // namespace peridothoist::ctl
