/// Limits and times of the entry's decisions.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Settings of EntryCore, with their defaults.
struct EntryCoreSettings
{
  std::string mZone; ///< This VM's zone.

  // Queue
  std::uint32_t mMaxQueuePerWorkspace = 512;
  std::uint32_t mMaxQueue = 4096;
  std::uint32_t mOutputTokenCost = 40; ///< Prompt tokens that one output
                                       ///< token costs as much as.

  // Attempts
  std::uint32_t mMaxAttempts = 4;    ///< For each request, hedges included.
  double mRetryBurst = 40;           ///< Retries that the budget may save up.
  Duration mTokenGapLimit = 5s;      ///< A stream without a token broke.
  Duration mImportRetryDelay = 20ms; ///< After "link busy".
  Duration mRetryAfter = 1s;         ///< Least time that refusals state.
  Duration mOutcomeWait = 60s; ///< Wait for a late outcome of a request that
                               ///< must not repeat, after its caller's end.

  // Upstreams
  std::uint32_t mPlainSlots = 64;   ///< Calls to one plain service from here.
  std::uint32_t mPrefillSlots = 8;  ///< Prefills on one engine from here.
  std::uint32_t mLinkSlots = 4;     ///< Prefills and transfers on their way
                                    ///< to one decode engine from here.
  Duration mFullBackoff = 100ms;    ///< After an engine said that it is full.
  Duration mConnectBackoff = 500ms; ///< After a connection failed.

  // Cancels
  Duration mCancelRetryDelay = 200ms; ///< After a failed or lost cancel.
  Duration mCancelRepeat = 2s; ///< A cancel that may have overtaken the call
                               ///< that it ends is sent again after this.

  // Crash-causing requests
  Duration mSuspicionLasts = 10min;
  Duration mQuarantineLasts = 10min;
  Duration mDeathWindow = 3s; ///< A call that broke this long before its
                              ///< upstream was found dead was present.
};

} // namespace peridothoist
