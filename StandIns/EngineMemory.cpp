/// Accounting of memory pieces by request id.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineMemory.h>

namespace peridothoist::standin {

const char*
ToName(ReservationState aState)
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
  if (aPieces > mFreePieces) {
    return false;
  }
  mFreePieces -= aPieces;
  MemoryReservation& reservation = mReservations[aRequest];
  reservation.mPieces = aPieces;
  reservation.mPriority = aPriority;
  return true;
}

std::uint32_t
EngineMemory::Free(const std::string& aRequest)
{
  const auto it = mReservations.find(aRequest);
  if (it == mReservations.end()) {
    return 0;
  }
  const std::uint32_t pieces = it->second.mPieces;
  mFreePieces += pieces;
  PH_ASSERT(mFreePieces <= mTotalPieces);
  mReservations.erase(it);
  return pieces;
}

std::vector<std::string>
EngineMemory::ListInstanceRequests(const std::string& aInstance) const
{
  const std::string prefix = aInstance + "/";
  std::vector<std::string> requests;
  for (auto it = mReservations.lower_bound(prefix); it != mReservations.end();
       ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) {
      break;
    }
    requests.push_back(it->first);
  }
  return requests;
}

MemoryReservation*
EngineMemory::Find(const std::string& aRequest)
{
  const auto it = mReservations.find(aRequest);
  return it == mReservations.end() ? nullptr : &it->second;
}

} // namespace peridothoist::standin
