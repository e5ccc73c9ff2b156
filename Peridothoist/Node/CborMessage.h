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

} // namespace peridothoist::detail
