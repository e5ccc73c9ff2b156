/// The deterministic text that engine stand-ins generate: a token's text
/// depends on the prompt and its index alone, so that a gap, a repeat or
/// another request's answer shows.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Bytes taken as one token of a prompt.
constexpr std::size_t kBytesPerToken = 4;

/// Tokens in a text: its bytes / 4, rounded up.
std::uint32_t
CountTokens(std::string_view aText);

/// Identifies a prompt in its answer: CRC-32, which the system tests can
/// compute.
std::uint32_t
Checksum(std::string_view aText);

/// Text of token aIndex of the answer to the prompt with aChecksum, as
/// "t7-0a1b2c3d ".
std::string
TokenText(std::uint32_t aChecksum, std::uint32_t aIndex);

/// The first aTokens tokens of the answer to aPrompt.
std::string
AnswerText(std::string_view aPrompt, std::uint32_t aTokens);

/// Tokens until the answer to aPrompt ends by itself. A prompt that contains
/// "answer_tokens=N" chooses it; otherwise there is no end.
std::optional<std::uint32_t>
AnswerLength(std::string_view aPrompt);

/// The id of a prompt's prefix in cache events: xxHash64 of its first 256
/// bytes, as 16 hex digits.
std::string
PrefixId(std::string_view aPrompt);

/// xxHash64 of a whole text, as 16 hex digits.
std::string
TextDigest(std::string_view aText);

} // namespace peridothoist::standin
