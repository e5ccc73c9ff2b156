/// Calls the control processes' admin API for the command line.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>

#include <curl/curl.h>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kMisdirected = 421;

/// Frees what libcurl gave.
struct CurlDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

std::size_t
TakeBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

long
Milliseconds(Duration aDuration)
{
  return static_cast<long>(aDuration / std::chrono::milliseconds(1));
}

/// True when no byte of the call can have arrived.
bool
IsUnsent(CURLcode aCode)
{
  return aCode == CURLE_COULDNT_CONNECT ||
         aCode == CURLE_COULDNT_RESOLVE_HOST || aCode == CURLE_URL_MALFORMAT ||
         aCode == CURLE_SSL_CONNECT_ERROR ||
         aCode == CURLE_PEER_FAILED_VERIFICATION ||
         aCode == CURLE_UNSUPPORTED_PROTOCOL;
}

} // namespace

ControlClient::ControlClient(const Settings& aSettings)
  : mSettings(aSettings)
{
  curl_global_init(CURL_GLOBAL_DEFAULT);
}

ControlClient::~ControlClient()
{
  curl_global_cleanup();
}

ControlAnswer
ControlClient::Call(const ControlCall& aCall)
{
  ControlAnswer answer;
  answer.mText = "no control process is given";
  for (const std::string& it : mSettings.mControls) {
    answer = CallOne(it, aCall);
    const bool goesOn =
      answer.mStatus == kMisdirected ||
      (answer.mStatus == 0 && (!answer.mInDoubt || aCall.mMethod == "GET"));
    if (!goesOn) {
      return answer;
    }
  }
  return answer;
}

ControlAnswer
ControlClient::CallOne(const std::string& aControl, const ControlCall& aCall)
{
  const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
  PH_ASSERT(handle != nullptr);
  const std::string url = aControl + aCall.mPath;
  const std::string sent = aCall.mBody.is_null() ? "" : aCall.mBody.dump();
  const std::string key = "Authorization: Bearer " + mSettings.mOperatorKey;
  std::string received;
  curl_slist* list = curl_slist_append(nullptr, key.c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  list = curl_slist_append(list, "Expect:");
  const std::unique_ptr<curl_slist, CurlDeleter> headers(list);
  CURL* const h = handle.get();
  curl_easy_setopt(h, CURLOPT_URL, url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, aCall.mMethod.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(
    h, CURLOPT_CONNECTTIMEOUT_MS, Milliseconds(mSettings.mConnectTimeout));
  curl_easy_setopt(
    h, CURLOPT_TIMEOUT_MS, Milliseconds(mSettings.mTotalTimeout));
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, TakeBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &received);
  if (!sent.empty()) {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, sent.c_str());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, static_cast<long>(sent.size()));
  }
  const CURLcode code = curl_easy_perform(h);
  ControlAnswer answer;
  if (code != CURLE_OK) {
    answer.mInDoubt = !IsUnsent(code);
    answer.mText = aControl + ": " + curl_easy_strerror(code);
    return answer;
  }
  long status = 0;
  curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
  answer.mStatus = static_cast<int>(status);
  answer.mBody = json::parse(received, nullptr, false);
  if (!answer.mBody.is_object()) {
    answer.mBody = json::object();
  }
  return answer;
}

} // namespace peridothoist
