/// Rendezvous hashing: the same few nodes for a key wherever it is computed,
/// and only a node's own keys move when it comes or goes.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// How strongly aNode draws aKey.
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode);

/// The aCount nodes that draw aKey most, strongest first; repeats in aNodes
/// count once.
std::vector<std::string>
RendezvousTop(std::string_view aKey,
              const std::vector<std::string>& aNodes,
              std::size_t aCount);

} // namespace peridothoist
