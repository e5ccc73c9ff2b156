/// Helpers for the small JSON bodies exchanged with upstreams. A field that is
/// missing or has another type reads as 0 or as an empty string.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <nlohmann/json.hpp>

namespace peridothoist::detail {

/// Returns the value of an unsigned integer field, or 0.
inline std::uint64_t
UnsignedField(const nlohmann::json& aDocument, const char* aField)
{
  if (!aDocument.is_object()) {
    return 0;
  }
  const auto it = aDocument.find(aField);
  const bool isUsable = it != aDocument.end() && it->is_number_unsigned();
  return isUsable ? it->get<std::uint64_t>() : 0;
}

/// Returns the value of a string field, or an empty string.
inline std::string
StringField(const nlohmann::json& aDocument, const char* aField)
{
  if (!aDocument.is_object()) {
    return {};
  }
  const auto it = aDocument.find(aField);
  const bool isUsable = it != aDocument.end() && it->is_string();
  return isUsable ? it->get<std::string>() : std::string();
}

/// Serializes a document. Invalid UTF-8 is replaced.
inline std::string
DumpJson(const nlohmann::json& aDocument)
{
  return aDocument.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace peridothoist::detail
