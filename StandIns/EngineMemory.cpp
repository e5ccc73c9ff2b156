/// Piece accounting by request id.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineMemory.h>

namespace peridothoist::standin {

const char*
ToName(HeldState aState)
{
  static const char* const kNames[] = {
    "reserved", "importing", "ready", "running"
  };
  return kNames[static_cast<std::size_t>(aState)];
}

bool
EngineMemory::Reserve(const std::string& aRequest,
                      std::uint32_t aPieces,
                      int aPriority)
{
  if (Find(aRequest) != nullptr) {
    return true;
  }
  if (aPieces > mFree) {
    return false;
  }
  mFree -= aPieces;
  Held& held = mHeld[aRequest];
  held.mPieces = aPieces;
  held.mPriority = aPriority;
  return true;
}

std::uint32_t
EngineMemory::Free(const std::string& aRequest)
{
  const auto it = mHeld.find(aRequest);
  if (it == mHeld.end()) {
    return 0;
  }
  const std::uint32_t pieces = it->second.mPieces;
  mFree += pieces;
  PH_ASSERT(mFree <= mTotal);
  mHeld.erase(it);
  return pieces;
}

std::vector<std::string>
EngineMemory::OfInstance(const std::string& aInstance) const
{
  const std::string prefix = aInstance + "/";
  std::vector<std::string> requests;
  for (auto it = mHeld.lower_bound(prefix); it != mHeld.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    requests.push_back(it->first);
  }
  return requests;
}

Held*
EngineMemory::Find(const std::string& aRequest)
{
  const auto it = mHeld.find(aRequest);
  return it == mHeld.end() ? nullptr : &it->second;
}

} // namespace peridothoist::standin
