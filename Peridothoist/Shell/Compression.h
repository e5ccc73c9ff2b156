/// Compression of documents that change a little at a time: a new version is
/// compressed against the one before it, so that only what differs takes bytes.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Returns aText compressed against aBase, which may be empty. Returns an empty
/// string if the library is out of memory.
std::string
CompressAgainst(std::string_view aBase, std::string_view aText);

/// Returns the text of aBytes, which were compressed against aBase. Returns
/// nullopt if the bytes are invalid, were compressed against another base, or
/// hold more than aMaxBytes.
std::optional<std::string>
DecompressAgainst(std::string_view aBase,
                  std::string_view aBytes,
                  std::size_t aMaxBytes);

} // namespace peridothoist
