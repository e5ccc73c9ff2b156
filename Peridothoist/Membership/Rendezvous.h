/// Rendezvous hashing: assigns the same few nodes to a key wherever it is
/// computed. When a node is added or removed, only its own keys move.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Returns the score of aNode for aKey.
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode);

/// Returns the aCount nodes with the highest scores for aKey, highest first.
/// Duplicates in aNodes count once.
std::vector<std::string>
TopRendezvousNodes(std::string_view aKey,
                   const std::vector<std::string>& aNodes,
                   std::size_t aCount);

} // namespace peridothoist
