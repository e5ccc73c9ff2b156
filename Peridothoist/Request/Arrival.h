/// A caller's request as the core sees it. Bodies stay in the shell.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

namespace peridothoist {

/// One authenticated request whose allowance is spent.
struct Arrival
{
  std::uint64_t mId = 0;   ///< Chosen by the shell; never used twice.
  std::string mWorkspace;  ///< Empty on routes that are open to all.
  std::string mKeyName;    ///< The key's public name; empty on open routes.
  std::string mCallerZone; ///< Empty when it is not known.
  std::shared_ptr<const Route> mRoute; ///< Never null.
  std::string mBodyDigest;     ///< Hex; of method, path, query and body.
  std::string mIdempotencyKey; ///< As the caller sent it; may be empty.
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mMaxTokens = 0;
  std::uint64_t mPrefixHash = 0; ///< As in the engines' cache events.
  bool mStreaming = false;
  TimePoint mArrivedAt;
};

} // namespace peridothoist
