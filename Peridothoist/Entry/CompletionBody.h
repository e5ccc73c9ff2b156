/// Reads the bodies of OpenAI-compatible completion requests. Pure: text in,
/// typed request or reason out.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// The two completion dialects; they differ in prompt and answer fields.
enum class CompletionDialect
{
  Chat, ///< /v1/chat/completions
  Text  ///< /v1/completions
};

/// Limits on what a caller may ask for.
struct CompletionLimits
{
  std::uint32_t mDefaultMaxTokens = 256; ///< When the caller names none.
  std::uint32_t mMaxTokens = 32768;      ///< Highest that may be named.
};

/// One completion request.
struct CompletionBody
{
  std::string mModel;
  std::string mPrompt;             ///< Chat messages joined, role by role.
  std::uint32_t mPromptTokens = 0; ///< Estimated: bytes / 4, rounded up.
  std::uint32_t mMaxTokens = 0;
  bool mStream = false;

  /// Reads aBody. Empty with an Invalid reason that names the field.
  static std::optional<CompletionBody> Parse(CompletionDialect aDialect,
                                             std::string_view aBody,
                                             const CompletionLimits& aLimits,
                                             Reason* aReason);
};

/// Estimates the tokens of a text, as docs/UPSTREAMS.md states.
std::uint32_t
EstimateTokens(std::string_view aText);

/// xxHash64 of the prompt's first 256 bytes: names it in cache events.
std::uint64_t
PrefixHash(std::string_view aPrompt);

} // namespace peridothoist
