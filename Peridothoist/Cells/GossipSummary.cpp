#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Cells/GossipSummary.h>

#include <algorithm>

namespace peridothoist {

void
AddGranted(GrantedTokens& aTo, const GrantedTokens& aFrom)
{
  for (const auto& [workspace, tokens] : aFrom) {
    aTo[workspace] += tokens;
  }
}

CountsByUpstream
WorstFailing(CountsByUpstream aCounts, std::size_t aCount)
{
  std::vector<std::pair<double, std::string>> order;
  for (const auto& [id, counts] : aCounts) {
    order.emplace_back(-counts.mFailed, id);
  }
  std::sort(order.begin(), order.end());
  for (std::size_t n = aCount; n < order.size(); ++n) {
    aCounts.erase(order[n].second);
  }
  return aCounts;
}

} // namespace peridothoist
