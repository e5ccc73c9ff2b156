/// Helpers to encode and decode messages as CBOR.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <nlohmann/json.hpp>

namespace peridothoist::detail {

/// Returns the CBOR encoding of a value.
inline std::string
ToCbor(const nlohmann::json& aValue)
{
  const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(aValue);
  return { bytes.begin(), bytes.end() };
}

/// Decodes bytes with aDecode. Returns nullopt if they are invalid. The library
/// throws on missing fields and fields of other types, and on excessive sizes
/// even if told not to throw.
template<typename Decoded>
std::optional<Decoded>
FromCbor(std::string_view aBytes,
         Decoded (*aDecode)(const nlohmann::json& aValue))
{
  try {
    return aDecode(nlohmann::json::from_cbor(aBytes.begin(), aBytes.end()));
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

/// Returns whether bytes start as ToCbor() encodes an array that begins with
/// the text aTag, of up to 23 bytes. A message of another type is told apart by
/// this without decoding it.
inline bool
HasCborTag(std::string_view aBytes, std::string_view aTag)
{
  constexpr unsigned char kShortArray = 0x80;
  constexpr unsigned char kShortText = 0x60;
  constexpr unsigned char kLengthBits = 0x1f;
  if (aBytes.size() < aTag.size() + 2) {
    return false;
  }
  const auto array = static_cast<unsigned char>(aBytes[0]);
  const auto text = static_cast<unsigned char>(aBytes[1]);
  return (array & ~kLengthBits) == kShortArray &&
         text == (kShortText | aTag.size()) &&
         aBytes.substr(2, aTag.size()) == aTag;
}

} // namespace peridothoist::detail
