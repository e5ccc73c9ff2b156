/// Digests and encodings of callers' requests.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Hex SHA-256 of method, target and body, each with its length, so that no
/// two requests share a digest by moving bytes between the parts.
std::string
DigestRequest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody);

/// Encodes all but unreserved characters (RFC 3986) as %XX.
std::string
PercentEncode(std::string_view aText);

} // namespace peridothoist
