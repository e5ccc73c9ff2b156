/// Reading and writing of the small JSON bodies that upstreams exchange with
/// an entry. A field that is missing or of another type reads as empty.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <nlohmann/json.hpp>

namespace peridothoist::detail {

/// An unsigned field; 0 when there is none.
inline std::uint64_t
UnsignedOf(const nlohmann::json& aDocument, const char* aField)
{
  if (!aDocument.is_object()) {
    return 0;
  }
  const auto it = aDocument.find(aField);
  const bool usable = it != aDocument.end() && it->is_number_unsigned();
  return usable ? it->get<std::uint64_t>() : 0;
}

/// A text field; empty when there is none.
inline std::string
StringOf(const nlohmann::json& aDocument, const char* aField)
{
  if (!aDocument.is_object()) {
    return {};
  }
  const auto it = aDocument.find(aField);
  const bool usable = it != aDocument.end() && it->is_string();
  return usable ? it->get<std::string>() : std::string();
}

/// A document's text; bytes that are not UTF-8 are replaced.
inline std::string
DumpJson(const nlohmann::json& aDocument)
{
  return aDocument.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace peridothoist::detail
