/// Serves operators over HTTP.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/AdminServer.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace peridothoist {

namespace {

using nlohmann::json;

constexpr std::string_view kBearer = "Bearer ";

/// HTTP statuses, in the order of ReasonCode.
constexpr std::array<int, 9> kStatuses = { 200, 422, 404, 409, 422,
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
AdminCall::Text(const char* aField) const
{
  const auto it = mBody.find(aField);
  return it != mBody.end() && it->is_string() ? it->get<std::string>()
                                              : std::string();
}

bool
AdminCall::Flag(const char* aField) const
{
  const auto it = mBody.find(aField);
  return it != mBody.end() && it->is_boolean() && it->get<bool>();
}

void
AdminCall::Answer(int aStatus, const json& aBody) const
{
  mExchange->Respond(
    aStatus,
    { { "content-type", "application/json" }, { "cache-control", "no-store" } },
    aBody.dump(-1, ' ', false, json::error_handler_t::replace) + "\n");
}

void
AdminCall::AnswerText(const char* aType, std::string aText) const
{
  mExchange->Respond(200, { { "content-type", aType } }, std::move(aText));
}

void
AdminCall::Refuse(const Reason& aReason, json aMore) const
{
  json body = aMore.is_object() ? std::move(aMore) : json::object();
  body["error"] = { { "code", ToName(aReason.mCode) },
                    { "message", aReason.mText } };
  Answer(kStatuses[static_cast<std::size_t>(aReason.mCode)], body);
}

AdminServer::AdminServer(const std::vector<OperatorKey>& aOperators)
  : mOperators(aOperators)
{
}

void
AdminServer::Add(const char* aMethod, const char* aPath, Serve aServe)
{
  mPages.push_back({ aMethod, aPath, false, std::move(aServe) });
}

void
AdminServer::AddOpen(const char* aMethod, const char* aPath, Serve aServe)
{
  mPages.push_back({ aMethod, aPath, true, std::move(aServe) });
}

const AdminServer::Page*
AdminServer::Find(const HttpRequest& aRequest, bool* aPathExists) const
{
  *aPathExists = false;
  for (const Page& it : mPages) {
    const std::string& path = aRequest.mPath;
    const bool isBelow = path.rfind(it.mPath + "/", 0) == 0;
    if (path != it.mPath && !isBelow) {
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
  if (it == aRequest.mHeaders.end() || it->second.rfind(kBearer, 0) != 0) {
    return std::nullopt;
  }
  const std::string shown =
    Sha256Hex(std::string_view(it->second).substr(kBearer.size()));
  std::optional<std::string> found;
  for (const OperatorKey& known : mOperators) {
    if (known.mSha256Hex.size() == shown.size() &&
        CRYPTO_memcmp(known.mSha256Hex.data(), shown.data(), shown.size()) ==
          0) {
      found = known.mName;
    }
  }
  return found;
}

void
AdminServer::OnRequest(std::shared_ptr<HttpExchange> aExchange)
{
  const HttpRequest& request = aExchange->Request();
  bool pathExists = false;
  const Page* page = Find(request, &pathExists);
  const AdminCall stranger(aExchange, {}, {}, {});
  if (page == nullptr || !page->mOpen) {
    if (!FindOperator(request)) {
      stranger.Answer(401,
                      { { "error",
                          { { "code", "refused" },
                            { "message", "an operator's key is needed" } } } });
      return;
    }
  }
  if (page == nullptr) {
    stranger.Answer(
      pathExists ? 405 : 404,
      { { "error",
          { { "code", "not_found" }, { "message", "no such call" } } } });
    return;
  }
  json body = request.mBody.empty()
                ? json::object()
                : json::parse(request.mBody, nullptr, false);
  if (!body.is_object()) {
    stranger.Refuse({ ReasonCode::Invalid, "body: must be a JSON object" });
    return;
  }
  const std::size_t own = page->mPath.size() + 1;
  std::string rest =
    request.mPath.size() > own ? request.mPath.substr(own) : std::string();
  const std::string who = FindOperator(request).value_or("");
  page->mServe(
    AdminCall(std::move(aExchange), who, std::move(rest), std::move(body)));
}

} // namespace peridothoist
