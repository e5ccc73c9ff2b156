#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Rendezvous.h>

#include <xxhash.h>

#include <algorithm>

namespace peridothoist {

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aNode)
{
  const XXH64_hash_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aNode.data(), aNode.size(), seed);
}

std::vector<std::string>
TopRendezvousNodes(std::string_view aKey,
                   const std::vector<std::string>& aNodes,
                   std::size_t aCount)
{
  struct Scored
  {
    std::uint64_t mScore;
    const std::string* mNode;
  };
  std::vector<Scored> scored;
  scored.reserve(aNodes.size());
  for (const std::string& node : aNodes) {
    scored.push_back({ RendezvousScore(aKey, node), &node });
  }
  const auto hasHigherScore = [](const Scored& aLeft, const Scored& aRight) {
    return aLeft.mScore != aRight.mScore ? aLeft.mScore > aRight.mScore
                                         : *aLeft.mNode < *aRight.mNode;
  };
  std::sort(scored.begin(), scored.end(), hasHigherScore);
  std::vector<std::string> top;
  for (const Scored& it : scored) {
    if (top.size() == aCount) {
      break;
    }
    if (top.empty() || top.back() != *it.mNode) {
      top.push_back(*it.mNode);
    }
  }
  return top;
}

} // namespace peridothoist
