/// A caller's request as handed to the core. The shell keeps the body.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

namespace peridothoist {

/// One authenticated request that has been charged to its allowance.
struct Arrival
{
  std::uint64_t mId = 0;   ///< Chosen by the shell; never reused.
  std::string mWorkspace;  ///< Empty on routes open to all callers.
  std::string mKeyName;    ///< Identifies the API key to DispatchPolicy; empty
                           ///< on such routes.
  std::string mCallerZone; ///< Empty if unknown.
  std::shared_ptr<const Route> mRoute; ///< Never null.
  std::string mRequestDigest;  ///< Hex digest of method, path, query and body.
  std::string mIdempotencyKey; ///< As sent by the caller; may be empty.
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxTokens = 0;
  std::uint64_t mPrefixHash = 0; ///< Same hash as in the engines' cache events.
  bool mStreaming = false;
  TimePoint mArrivedAt;
};

} // namespace peridothoist
