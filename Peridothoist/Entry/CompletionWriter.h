/// Serializes responses in the OpenAI-compatible format: whole completions,
/// stream events and errors.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionRequest.h>

namespace peridothoist {

/// Token counts of a finished completion.
struct CompletionUsage
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mCompletionTokens = 0;
};

/// Serializes the response to one completion request.
class CompletionWriter
{
public:
  /// @param aId the "id" field, unique for each request.
  /// @param aCreated the "created" field, in seconds since 1970 (Unix time).
  CompletionWriter(CompletionDialect aDialect,
                   std::string aId,
                   std::string aModel,
                   std::int64_t aCreated);

  /// Returns the body of a whole (not streamed) response.
  std::string CompleteResponse(const std::string& aText,
                               const std::string& aFinishReason,
                               const CompletionUsage& aUsage) const;

  /// Returns a stream event with the text of one or more tokens.
  std::string TokenEvent(const std::string& aText) const;

  /// Returns the last two events of a stream: the one with the finish reason
  /// and "[DONE]".
  std::string FinalEvents(const std::string& aFinishReason,
                          const CompletionUsage& aUsage) const;

  /// Returns an error event, for a stream that can't be completed.
  static std::string ErrorEvent(const std::string& aErrorBody);

private:
  std::string ChunkEvent(const std::string& aText,
                         const std::string* aFinishReason,
                         const CompletionUsage* aUsage) const;

  CompletionDialect mDialect;
  std::string mId;
  std::string mModel;
  std::int64_t mCreated; ///< Seconds since 1970 (Unix time).
};

} // namespace peridothoist
