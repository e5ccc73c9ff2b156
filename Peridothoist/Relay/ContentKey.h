/// Keys under which the origins of streams are found by the content of their
/// requests. Callers send the same content with each attempt of a stream.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// What identifies the content of a stream's request.
struct StreamContent
{
  std::string mWorkspace;
  std::string mDigest;      ///< Of method, target and body.
  std::string mPromptParts; ///< All of them, as stated.
  std::optional<std::uint64_t> mPromptTokens;
  std::uint64_t mOutputTokens = 0; ///< Maximum.
};

/// Returns the key of a content. It differs from the key of any attempt, since
/// ids of attempts contain no line breaks.
std::string
MakeContentKey(const StreamContent& aContent);

/// Returns whether a key was made by MakeContentKey().
bool
IsContentKey(std::string_view aKey);

} // namespace peridothoist
