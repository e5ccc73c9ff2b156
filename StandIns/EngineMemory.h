/// KV memory of an engine stand-in. Pieces are reserved for a request id until
/// the request ends or is cancelled; a closed connection alone frees nothing.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Progress of a request that has reserved memory.
enum class ReservationState
{
  Reserved,  ///< Memory is reserved; there is no KV cache yet.
  Importing, ///< The KV cache is being transferred.
  Ready,     ///< Can decode, also after its stream broke off.
  Running    ///< Its stream is being generated.
};

const char*
ToName(ReservationState aState);

/// A KV cache as a prefill produces it and an import transfers it.
struct KvCache
{
  std::string mPrompt;
  std::string mResumeText;
  std::uint64_t mBytes = 0;
};

/// The memory that one request has reserved.
struct MemoryReservation
{
  std::uint32_t mPieces = 0;
  int mPriority = 0;
  ReservationState mState = ReservationState::Reserved;
  KvCache mKv; ///< Set in state Ready and later.
};

/// Tracks the memory reservations of all requests. Invariant: reserved and free
/// pieces add up to the total.
class EngineMemory
{
public:
  explicit EngineMemory(std::uint32_t aTotalPieces)
    : mTotalPieces(aTotalPieces)
    , mFreePieces(aTotalPieces)
  {
  }

  /// Reserves pieces for a request. Returns false if too few pieces are free.
  /// Idempotent: if the request already has a reservation, returns true and
  /// changes nothing.
  bool Reserve(const std::string& aRequest,
               std::uint32_t aPieces,
               int aPriority);

  /// Frees a request's pieces and returns their number.
  std::uint32_t Free(const std::string& aRequest);

  /// Returns the ids of all requests of one entry instance.
  std::vector<std::string> ListInstanceRequests(
    const std::string& aInstance) const;

  /// Returns a request's reservation, or null.
  MemoryReservation* Find(const std::string& aRequest);

  const std::map<std::string, MemoryReservation>& Reservations() const
  {
    return mReservations;
  }
  std::uint32_t FreePieces() const { return mFreePieces; }
  std::uint32_t TotalPieces() const { return mTotalPieces; }

private:
  std::uint32_t mTotalPieces;
  std::uint32_t mFreePieces;
  std::map<std::string, MemoryReservation> mReservations;
};

} // namespace peridothoist::standin
