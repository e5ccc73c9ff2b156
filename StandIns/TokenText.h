/// Deterministic text that engine stand-ins generate. A token's text depends
/// only on the prompt and the token's index, so that tests detect missing and
/// duplicate tokens and tokens of another request.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Bytes of text that count as one token.
constexpr std::size_t kBytesPerToken = 4;

/// Returns the number of tokens in a text: its bytes / 4, rounded up.
std::uint32_t
CountTokens(std::string_view aText);

/// Returns the CRC-32 that identifies a prompt in its generated text. The
/// system tests compute the same checksum.
std::uint32_t
Checksum(std::string_view aText);

/// Returns the text of token aIndex generated for the prompt with aChecksum,
/// for example "t7-0a1b2c3d ".
std::string
TokenText(std::uint32_t aChecksum, std::uint32_t aIndex);

/// Returns the first aTokens tokens generated for aPrompt.
std::string
GeneratedText(std::string_view aPrompt, std::uint32_t aTokens);

/// Returns the number of tokens after which generation for aPrompt stops. A
/// prompt sets it with "answer_tokens=N". Returns nullopt if there is no limit.
std::optional<std::uint32_t>
GeneratedLength(std::string_view aPrompt);

/// Returns the id of a prompt's prefix in cache events: the xxHash64 of its
/// first 256 bytes, as 16 hex digits.
std::string
PrefixId(std::string_view aPrompt);

/// Returns the xxHash64 of a text, as 16 hex digits.
std::string
TextDigest(std::string_view aText);

} // namespace peridothoist::standin
