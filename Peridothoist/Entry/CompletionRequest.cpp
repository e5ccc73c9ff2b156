#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionRequest.h>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace peridothoist {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kBytesPerToken = 4;

void
Refuse(Reason* aReason, const std::string& aText)
{
  Reason::Set(aReason, ReasonCode::Invalid, aText);
}

/// Reads the content of a chat message: a string or an array of text parts.
std::optional<std::string>
ReadContent(const Json& aContent, const std::string& aPath, Reason* aReason)
{
  if (aContent.is_string()) {
    return aContent.get<std::string>();
  }
  if (!aContent.is_array()) {
    Refuse(aReason, aPath + ": must be a string or an array of text parts");
    return std::nullopt;
  }
  std::string text;
  for (std::size_t n = 0; n < aContent.size(); ++n) {
    const Json& part = aContent[n];
    const bool isText =
      part.is_object() && part.contains("text") && part["text"].is_string();
    if (!isText) {
      Refuse(aReason,
             aPath + "[" + std::to_string(n) + "]: must be a text part");
      return std::nullopt;
    }
    text += part["text"].get<std::string>();
  }
  return text;
}

std::optional<std::string>
ReadMessages(const Json& aDocument, Reason* aReason)
{
  const auto it = aDocument.find("messages");
  if (it == aDocument.end() || !it->is_array() || it->empty()) {
    Refuse(aReason, "messages: must be an array of at least one message");
    return std::nullopt;
  }
  std::string prompt;
  for (std::size_t n = 0; n < it->size(); ++n) {
    const std::string path = "messages[" + std::to_string(n) + "]";
    const Json& message = (*it)[n];
    if (!message.is_object() || !message.contains("role") ||
        !message["role"].is_string()) {
      Refuse(aReason, path + ".role: must be a string");
      return std::nullopt;
    }
    if (!message.contains("content")) {
      Refuse(aReason, path + ".content: is missing");
      return std::nullopt;
    }
    auto content = ReadContent(message["content"], path + ".content", aReason);
    if (!content) {
      return std::nullopt;
    }
    prompt += message["role"].get<std::string>() + ": " + *content + "\n";
  }
  return prompt;
}

std::optional<std::string>
ReadPrompt(const Json& aDocument, Reason* aReason)
{
  const auto it = aDocument.find("prompt");
  if (it == aDocument.end() || !it->is_string()) {
    Refuse(aReason, "prompt: must be a string");
    return std::nullopt;
  }
  return it->get<std::string>();
}

/// Reads the requested number of tokens from whichever of the two field names
/// is present.
std::optional<std::uint32_t>
ReadMaxTokens(const Json& aDocument,
              const CompletionLimits& aLimits,
              Reason* aReason)
{
  for (const char* name : { "max_completion_tokens", "max_tokens" }) {
    const auto it = aDocument.find(name);
    if (it == aDocument.end() || it->is_null()) {
      continue;
    }
    const bool isValid = it->is_number_unsigned() &&
                         it->get<std::uint64_t>() >= 1 &&
                         it->get<std::uint64_t>() <= aLimits.mMaxTokens;
    if (!isValid) {
      Refuse(aReason,
             std::string(name) + ": must be a whole number from 1 to " +
               std::to_string(aLimits.mMaxTokens));
      return std::nullopt;
    }
    return it->get<std::uint32_t>();
  }
  return aLimits.mDefaultMaxTokens;
}

bool
ReadFlags(const Json& aDocument, CompletionRequest& aRequest, Reason* aReason)
{
  const auto stream = aDocument.find("stream");
  if (stream != aDocument.end() && !stream->is_null()) {
    if (!stream->is_boolean()) {
      Refuse(aReason, "stream: must be true or false");
      return false;
    }
    aRequest.mStream = stream->get<bool>();
  }
  const auto choices = aDocument.find("n");
  if (choices != aDocument.end() && *choices != 1) {
    Refuse(aReason, "n: only one choice per request is supported");
    return false;
  }
  const auto model = aDocument.find("model");
  if (model == aDocument.end() || !model->is_string()) {
    Refuse(aReason, "model: must be a string");
    return false;
  }
  aRequest.mModel = model->get<std::string>();
  return true;
}

} // namespace

std::uint32_t
EstimateTokens(std::string_view aText)
{
  const std::size_t tokens =
    (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
  return static_cast<std::uint32_t>(tokens);
}

std::uint64_t
PrefixHash(std::string_view aPrompt)
{
  const std::string_view prefix = aPrompt.substr(0, kPrefixBytes);
  return XXH64(prefix.data(), prefix.size(), 0);
}

std::optional<CompletionRequest>
CompletionRequest::Parse(CompletionDialect aDialect,
                         std::string_view aBody,
                         const CompletionLimits& aLimits,
                         Reason* aReason)
{
  const Json document = Json::parse(aBody, nullptr, false);
  if (!document.is_object()) {
    Refuse(aReason, "body: must be a JSON object");
    return std::nullopt;
  }
  CompletionRequest request;
  if (!ReadFlags(document, request, aReason)) {
    return std::nullopt;
  }
  auto prompt = aDialect == CompletionDialect::Chat
                  ? ReadMessages(document, aReason)
                  : ReadPrompt(document, aReason);
  if (!prompt) {
    return std::nullopt;
  }
  const auto maxTokens = ReadMaxTokens(document, aLimits, aReason);
  if (!maxTokens) {
    return std::nullopt;
  }
  request.mPrompt = std::move(*prompt);
  request.mPromptTokens = EstimateTokens(request.mPrompt);
  request.mMaxTokens = *maxTokens;
  return request;
}

} // namespace peridothoist
