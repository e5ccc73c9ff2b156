/// Digest and URL encoding of callers' requests.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Returns the SHA-256, in hex, of method, target and body. The length of each
/// is included, so that requests that differ only in where one part ends have
/// different digests.
std::string
DigestRequest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody);

/// Encodes all characters except unreserved ones (RFC 3986) as %XX.
std::string
PercentEncode(std::string_view aText);

} // namespace peridothoist
