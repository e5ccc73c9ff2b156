/// State that the components of the entry's core share.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Request/CancelTracker.h>
#include <Peridothoist/Request/DispatchPolicy.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/EntryCounters.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Request/RequestState.h>
#include <Peridothoist/Request/TimerQueue.h>
#include <Peridothoist/Routing/ReservationPolicy.h>
#include <Peridothoist/Routing/PrefixHints.h>
#include <Peridothoist/Routing/RetryBudget.h>
#include <Peridothoist/Routing/SuspectTable.h>
#include <Peridothoist/Routing/UpstreamTable.h>

#include <unordered_map>

namespace peridothoist {

/// Shared state. mNow and mCommands belong to the event being handled.
struct EntryContext
{
  EntryContext(const EntryCoreSettings& aSettings,
               std::shared_ptr<const Configuration> aConfiguration,
               DispatchPolicy* aDispatchPolicy,
               Random* aRandom)
    : mSettings(aSettings)
    , mConfiguration(std::move(aConfiguration))
    , mDispatchPolicy(aDispatchPolicy)
    , mRandom(aRandom)
    , mRetryBudget(mConfiguration->mDefaults.mRetryBudget,
                   aSettings.mRetryBurst)
    , mSuspects({ aSettings.mSuspicionDuration, aSettings.mQuarantineDuration })
    , mCancels(mSettings)
  {
  }

  // Inputs
  const EntryCoreSettings mSettings;
  std::shared_ptr<const Configuration> mConfiguration;
  DispatchPolicy* mDispatchPolicy;
  Random* mRandom;

  // The event being handled
  TimePoint mNow;
  RequestCommands* mCommands = nullptr;
  bool mDispatchNeeded = false; ///< Waiting requests may have become placeable.

  // State
  std::unordered_map<std::uint64_t, std::unique_ptr<RequestState>> mRequests;
  /// Number of open attempts, by digest.
  std::unordered_map<std::string, std::uint32_t> mRunningDigests;
  /// Ids of finished requests, which are removed at the end of the event.
  std::vector<std::uint64_t> mFinishedRequests;
  UpstreamTable mUpstreams;
  ReservationPolicy mReservationPolicy;
  PrefixHints mPrefixHints{ PrefixHintsSettings() };
  RetryBudget mRetryBudget;
  SuspectTable mSuspects;
  CancelTracker mCancels;
  TimerQueue mTimers;
  EntryCounters mCounters;
  bool mIsDraining = false;

  /// Returns an open request; null if it has finished.
  RequestState* Find(std::uint64_t aId)
  {
    const auto it = mRequests.find(aId);
    return it == mRequests.end() ? nullptr : it->second.get();
  }

  /// Appends a command for a request.
  RequestCommand& AddCommand(RequestCommandKind aKind,
                             const RequestState& aRequest,
                             std::uint32_t aAttempt = 0)
  {
    RequestCommand command;
    command.mKind = aKind;
    command.mId = aRequest.mArrival.mId;
    command.mAttempt = aAttempt;
    mCommands->push_back(std::move(command));
    return mCommands->back();
  }
};

} // namespace peridothoist
