/// Writes answers in the OpenAI-compatible form: whole completions, stream
/// events and errors.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionBody.h>

namespace peridothoist {

/// Token counts of a finished completion.
struct CompletionUsage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/// Writes the answer to one completion request.
class CompletionWriter
{
public:
  /// @param aId the answer's id, unique for each request.
  /// @param aCreated seconds since 1970, for the "created" field.
  CompletionWriter(CompletionDialect aDialect,
                   std::string aId,
                   std::string aModel,
                   std::int64_t aCreated);

  /// A whole answer's body.
  std::string Whole(const std::string& aText,
                    const std::string& aFinishReason,
                    const CompletionUsage& aUsage) const;

  /// One stream event with a token's text.
  std::string Token(const std::string& aText) const;

  /// The stream's last two events: the finish reason and "[DONE]".
  std::string End(const std::string& aFinishReason,
                  const CompletionUsage& aUsage) const;

  /// An explicit error event, for a stream that can't be completed.
  static std::string StreamError(const std::string& aErrorBody);

private:
  std::string Event(const std::string& aText,
                    const std::string* aFinishReason,
                    const CompletionUsage* aUsage) const;

  CompletionDialect mDialect;
  std::string mId;
  std::string mModel;
  std::int64_t mCreated; ///< Seconds since 1970.
};

} // namespace peridothoist
