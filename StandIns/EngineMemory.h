/// KV memory of an engine stand-in: pieces held under request ids until the
/// request ends or is cancelled. A closed connection alone frees nothing.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// How far a request that holds memory has come.
enum class HeldState
{
  Reserved,  ///< Memory is set aside; no KV cache yet.
  Importing, ///< The KV cache is on its way.
  Ready,     ///< Can decode; also after its stream was cut.
  Running    ///< Its stream is being generated.
};

const char*
ToName(HeldState aState);

/// What a prefill made, and what an import brings.
struct KvCache
{
  std::string mPrompt;
  std::string mResumeText;
  std::uint64_t mBytes = 0;
};

/// One request's memory.
struct Held
{
  std::uint32_t mPieces = 0;
  int mPriority = 0;
  HeldState mState = HeldState::Reserved;
  KvCache mKv; ///< Set from Ready on.
};

/// All requests that hold memory. Invariant: their pieces and the free ones
/// add up to the total.
class EngineMemory
{
public:
  explicit EngineMemory(std::uint32_t aTotalPieces)
    : mTotal(aTotalPieces)
    , mFree(aTotalPieces)
  {
  }

  /// Sets pieces aside. Asking again under the same id changes nothing and
  /// succeeds. Returns false when there is no room.
  bool Reserve(const std::string& aRequest,
               std::uint32_t aPieces,
               int aPriority);

  /// Frees a request's pieces and returns how many that were.
  std::uint32_t Free(const std::string& aRequest);

  /// The ids of all requests of one entry instance.
  std::vector<std::string> OfInstance(const std::string& aInstance) const;

  /// One request's memory, or null.
  Held* Find(const std::string& aRequest);

  const std::map<std::string, Held>& All() const { return mHeld; }
  std::uint32_t FreePieces() const { return mFree; }
  std::uint32_t TotalPieces() const { return mTotal; }

private:
  std::uint32_t mTotal;
  std::uint32_t mFree;
  std::map<std::string, Held> mHeld;
};

} // namespace peridothoist::standin
