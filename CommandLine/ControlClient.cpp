/// Client of the control processes' admin API for the command line.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>

#include <curl/curl.h>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr int kHttpMisdirectedRequest = 421;

/// Frees objects of libcurl.
struct CurlDeleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};

std::size_t
AppendBody(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

long
ToMilliseconds(Duration aDuration)
{
  return static_cast<long>(aDuration / std::chrono::milliseconds(1));
}

/// Returns whether no byte of the request can have arrived.
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
                      const ControlRequest& aRequest)
{
  const std::unique_ptr<CURL, CurlDeleter> handle(curl_easy_init());
  PH_ASSERT(handle != nullptr);
  const std::string url = aControl + aRequest.mPath;
  const std::string sent =
    aRequest.mBody.is_null() ? "" : aRequest.mBody.dump();
  const std::string key = "Authorization: Bearer " + mSettings.mOperatorKey;
  std::string received;
  curl_slist* list = curl_slist_append(nullptr, key.c_str());
  list = curl_slist_append(list, "Content-Type: application/json");
  list = curl_slist_append(list, "Expect:");
  const std::unique_ptr<curl_slist, CurlDeleter> headers(list);
  CURL* const h = handle.get();
  curl_easy_setopt(h, CURLOPT_URL, url.c_str());
  curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, aRequest.mMethod.c_str());
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(
    h, CURLOPT_CONNECTTIMEOUT_MS, ToMilliseconds(mSettings.mConnectTimeout));
  curl_easy_setopt(
    h, CURLOPT_TIMEOUT_MS, ToMilliseconds(mSettings.mTotalTimeout));
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, AppendBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, &received);
  if (!sent.empty()) {
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, sent.c_str());
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, static_cast<long>(sent.size()));
  }
  const CURLcode code = curl_easy_perform(h);
  ControlResponse response;
  if (code != CURLE_OK) {
    response.mIsInDoubt = !IsUnsent(code);
    response.mText = aControl + ": " + curl_easy_strerror(code);
    return response;
  }
  long status = 0;
  curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &status);
  response.mStatus = static_cast<int>(status);
  response.mBody = json::parse(received, nullptr, false);
  if (!response.mBody.is_object()) {
    response.mBody = json::object();
  }
  return response;
}

} // namespace peridothoist
