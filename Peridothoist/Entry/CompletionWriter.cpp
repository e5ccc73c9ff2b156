#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionWriter.h>

#include <Peridothoist/Entry/JsonFields.h>

namespace peridothoist {

namespace {

using Json = nlohmann::json;
using detail::DumpJson;

Json
UsageJson(const CompletionUsage& aUsage)
{
  return { { "prompt_tokens", aUsage.mPromptTokens },
           { "completion_tokens", aUsage.mCompletionTokens },
           { "total_tokens",
             aUsage.mPromptTokens + aUsage.mCompletionTokens } };
}

} // namespace

CompletionWriter::CompletionWriter(CompletionDialect aDialect,
                                   std::string aId,
                                   std::string aModel,
                                   std::int64_t aCreated)
  : mDialect(aDialect)
  , mId(std::move(aId))
  , mModel(std::move(aModel))
  , mCreated(aCreated)
{
}

std::string
CompletionWriter::CompleteResponse(const std::string& aText,
                                   const std::string& aFinishReason,
                                   const CompletionUsage& aUsage) const
{
  Json choice = { { "index", 0 }, { "finish_reason", aFinishReason } };
  if (mDialect == CompletionDialect::Chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  const char* object =
    mDialect == CompletionDialect::Chat ? "chat.completion" : "text_completion";
  const Json document = { { "id", mId },
                          { "object", object },
                          { "created", mCreated },
                          { "model", mModel },
                          { "choices", Json::array({ choice }) },
                          { "usage", UsageJson(aUsage) } };
  return DumpJson(document);
}

std::string
CompletionWriter::ChunkEvent(const std::string& aText,
                             const std::string* aFinishReason,
                             const CompletionUsage* aUsage) const
{
  Json choice = { { "index", 0 }, { "finish_reason", nullptr } };
  if (mDialect == CompletionDialect::Text) {
    choice["text"] = aText;
  } else if (aFinishReason == nullptr) {
    choice["delta"] = { { "content", aText } };
  } else {
    choice["delta"] = Json::object();
  }
  if (aFinishReason != nullptr) {
    choice["finish_reason"] = *aFinishReason;
  }
  const char* object = mDialect == CompletionDialect::Chat
                         ? "chat.completion.chunk"
                         : "text_completion";
  Json document = { { "id", mId },
                    { "object", object },
                    { "created", mCreated },
                    { "model", mModel },
                    { "choices", Json::array({ choice }) } };
  if (aUsage != nullptr) {
    document["usage"] = UsageJson(*aUsage);
  }
  return "data: " + DumpJson(document) + "\n\n";
}

std::string
CompletionWriter::TokenEvent(const std::string& aText) const
{
  return ChunkEvent(aText, nullptr, nullptr);
}

std::string
CompletionWriter::FinalEvents(const std::string& aFinishReason,
                              const CompletionUsage& aUsage) const
{
  return ChunkEvent("", &aFinishReason, &aUsage) + "data: [DONE]\n\n";
}

std::string
CompletionWriter::ErrorEvent(const std::string& aErrorBody)
{
  return "event: error\ndata: " + aErrorBody + "\n\n";
}

} // namespace peridothoist
