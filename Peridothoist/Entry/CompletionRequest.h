/// Parses the bodies of OpenAI-compatible completion requests. Performs no
/// I/O.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// The two completion APIs. They differ in their prompt and response fields.
enum class CompletionDialect
{
  Chat, ///< /v1/chat/completions
  Text  ///< /v1/completions
};

/// Limits on the number of tokens that a caller may request.
struct CompletionLimits
{
  std::uint32_t mDefaultMaxTokens = 256; ///< For requests without max_tokens.
  std::uint32_t mMaxTokens = 32768;      ///< Highest accepted max_tokens.
};

/// One parsed completion request.
struct CompletionRequest
{
  std::string mModel;
  std::string mPrompt;             ///< Chat: "role: content" lines, joined.
  std::uint32_t mPromptTokens = 0; ///< Estimate: bytes / 4, rounded up.
  std::uint32_t mMaxTokens = 0;
  bool mStream = false;

  /// Parses aBody. Returns nullopt with an Invalid reason that names the
  /// offending field.
  static std::optional<CompletionRequest> Parse(CompletionDialect aDialect,
                                                std::string_view aBody,
                                                const CompletionLimits& aLimits,
                                                Reason* aReason);
};

/// Estimates the number of tokens of a text as specified in
/// docs/UPSTREAMS.md.
std::uint32_t
EstimateTokens(std::string_view aText);

/// Returns the xxHash64 of the prompt's first 256 bytes, which identifies the
/// prefix in cache events.
std::uint64_t
PrefixHash(std::string_view aPrompt);

} // namespace peridothoist
