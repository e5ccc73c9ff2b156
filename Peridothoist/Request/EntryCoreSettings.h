/// Limits and delays of the entry's request handling.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Settings of EntryCore, with their defaults.
struct EntryCoreSettings
{
  std::string mZone; ///< This VM's zone.

  // Queue
  std::uint32_t mMaxQueueLengthPerWorkspace = 512;
  std::uint32_t mMaxQueueLength = 4096;
  std::uint32_t mOutputTokenCost = 40; ///< Cost of one output token, in
                                       ///< prompt tokens.

  // Attempts
  std::uint32_t mMaxAttempts = 4; ///< Per request, including hedges.
  double mRetryBurst = 40;        ///< Maximum that the retry budget saves up.
  Duration mMaxTokenGap = 5s;     ///< Timeout between tokens of a stream.
  Duration mImportRetryDelay = 20ms; ///< After 503 (link busy).
  Duration mMinRetryAfter = 1s;      ///< Minimum Retry-After of refusals.
  Duration mOutcomeTimeout = 60s;    ///< How long the outcome of a claimed
                                     ///< request is awaited after its caller
                                     ///< got a final response or is gone.

  // Upstreams. Slots are the maximum number of concurrent calls of this entry.
  std::uint32_t mPlainSlots = 64;  ///< Calls to one plain service.
  std::uint32_t mPrefillSlots = 8; ///< Prefills on one engine.
  std::uint32_t mLinkSlots = 4;    ///< Prefills and transfers destined for one
                                   ///< decode engine.
  Duration mFullBackoff = 100ms; ///< After an engine reported that it is full.
  Duration mConnectBackoff = 500ms; ///< After a connection failed.

  // Cancels
  Duration mCancelRetryDelay = 200ms; ///< Initial; doubles with each resend.
  Duration mCancelResendDelay = 2s;   ///< A cancel that may have overtaken its
                                      ///< call is sent again after this time.

  // Crash-causing requests
  Duration mSuspicionDuration = 10min;  ///< How long a digest is a suspect.
  Duration mQuarantineDuration = 10min; ///< How long it is quarantined.
  Duration mCrashEvidenceWindow = 3s;   ///< A call that broke within this time
                                        ///< before its upstream was found dead
                                        ///< counts as present at the crash.
};

} // namespace peridothoist
