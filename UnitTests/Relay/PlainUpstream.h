/// Makes plain upstreams for tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamList.h>

namespace peridothoist::test {

inline RelayUpstream
MakeUpstream(const std::string& aId, bool aLeaving = false)
{
  RelayUpstream upstream;
  upstream.mId = aId;
  upstream.mService = "s";
  upstream.mZone = "a";
  upstream.mSlots = 6;
  upstream.mIsLeaving = aLeaving;
  return upstream;
}

} // namespace peridothoist::test
