/// HTTP server of the admin API.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::string_view kBearerPrefix = "Bearer ";

/// HTTP status codes, indexed by ReasonCode.
constexpr std::array<int, 9> kHttpStatusOfReason = { 200, 422, 404, 409, 422,
                                                     503, 503, 503, 503 };

std::string
Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (unsigned char it : digest) {
    text += kDigits[it >> 4];
    text += kDigits[it & 15];
  }
  return text;
}

} // namespace

std::string
AdminRequest::TextField(const char* aField) const
{
  const auto it = mBody.find(aField);
  return it != mBody.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

bool
AdminRequest::BoolField(const char* aField) const
{
  const auto it = mBody.find(aField);
  return it != mBody.end() && it->is_boolean() && it->get<bool>();
}

void
AdminRequest::Respond(int aStatus, const json& aBody) const
{
  mExchange->Respond(
    aStatus,
    { { "content-type", "application/json" }, { "cache-control", "no-store" } },
    aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void
AdminRequest::RespondText(const char* aContentType, std::string aText) const
{
  mExchange->Respond(
    200, { { "content-type", aContentType } }, std::move(aText));
}

void
AdminRequest::RespondError(const Reason& aReason, json aExtraFields) const
{
  json body =
    aExtraFields.is_object() ? std::move(aExtraFields) : json::object();
  body["error"] = { { "code", ToName(aReason.mCode) },
                    { "message", aReason.mText } };
  Respond(kHttpStatusOfReason[static_cast<std::size_t>(aReason.mCode)], body);
}

AdminServer::AdminServer(const std::vector<OperatorKey>& aOperators)
  : mOperators(aOperators)
{
}

void
AdminServer::AddEndpoint(const char* aMethod,
                         const char* aPath,
                         Handler aHandler)
{
  mEndpoints.push_back({ aMethod, aPath, false, std::move(aHandler) });
}

void
AdminServer::AddPublicEndpoint(const char* aMethod,
                               const char* aPath,
                               Handler aHandler)
{
  mEndpoints.push_back({ aMethod, aPath, true, std::move(aHandler) });
}

const AdminServer::Endpoint*
AdminServer::FindEndpoint(const HttpRequest& aRequest, bool* aPathExists) const
{
  *aPathExists = false;
  for (const Endpoint& it : mEndpoints) {
    const std::string& path = aRequest.mPath;
    const bool isSubPath = path.rfind(it.mPath + "/", 0) == 0;
    if (path != it.mPath && !isSubPath) {
      continue;
    }
    *aPathExists = true;
    if (it.mMethod == aRequest.mMethod) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<std::string>
AdminServer::FindOperator(const HttpRequest& aRequest) const
{
  const auto it = aRequest.mHeaders.find("authorization");
  if (it == aRequest.mHeaders.end() ||
      it->second.rfind(kBearerPrefix, 0) != 0) {
    return std::nullopt;
  }
  const std::string presentedDigest =
    Sha256Hex(std::string_view(it->second).substr(kBearerPrefix.size()));
  std::optional<std::string> found;
  for (const OperatorKey& operatorKey : mOperators) {
    if (operatorKey.mSha256Hex.size() == presentedDigest.size() &&
        CRYPTO_memcmp(operatorKey.mSha256Hex.data(),
                      presentedDigest.data(),
                      presentedDigest.size()) == 0) {
      found = operatorKey.mName;
    }
  }
  return found;
}

void
AdminServer::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const HttpRequest& request = aExchange->Request();
  bool pathExists = false;
  const Endpoint* endpoint = FindEndpoint(request, &pathExists);
  const AdminRequest unauthenticated(aExchange, {}, {}, {});
  if (endpoint == nullptr || !endpoint->mIsPublic) {
    if (!FindOperator(request)) {
      unauthenticated.Respond(
        401,
        { { "error",
            { { "code", "refused" },
              { "message", "a valid operator key is required" } } } });
      return;
    }
  }
  if (endpoint == nullptr) {
    unauthenticated.Respond(
      pathExists ? 405 : 404,
      { { "error",
          { { "code", "not_found" },
            { "message", "unknown endpoint or method" } } } });
    return;
  }
  json body = request.mBody.empty()
                ? json::object()
                : json::parse(request.mBody, nullptr, false);
  if (!body.is_object()) {
    unauthenticated.RespondError(
      { ReasonCode::Invalid, "body: must be a JSON object" });
    return;
  }
  const std::size_t prefixLength = endpoint->mPath.size() + 1;
  std::string subPath = request.mPath.size() > prefixLength
                          ? request.mPath.substr(prefixLength)
                          : std::string();
  const std::string operatorName = FindOperator(request).value_or("");
  endpoint->mHandler(AdminRequest(
    std::move(aExchange), operatorName, std::move(subPath), std::move(body)));
}

} // namespace peridothoist
