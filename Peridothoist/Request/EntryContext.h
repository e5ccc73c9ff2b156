/// What the parts of the entry's core share.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Request/CancelLedger.h>
#include <Peridothoist/Request/DispatchGate.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/EntryCounters.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Request/RequestState.h>
#include <Peridothoist/Request/TimerQueue.h>
#include <Peridothoist/Routing/CreditPool.h>
#include <Peridothoist/Routing/PrefixHints.h>
#include <Peridothoist/Routing/RetryBudget.h>
#include <Peridothoist/Routing/SuspectTable.h>
#include <Peridothoist/Routing/UpstreamTable.h>

#include <unordered_map>

namespace peridothoist {

/// Shared state. mNow and mOut are those of the event in hand.
struct EntryContext
{
  EntryContext(const EntryCoreSettings& aSettings,
               std::shared_ptr<const Configuration> aConfiguration,
               DispatchGate* aGate,
               Random* aRandom)
    : mSettings(aSettings)
    , mConfiguration(std::move(aConfiguration))
    , mGate(aGate)
    , mRandom(aRandom)
    , mBudget(mConfiguration->mDefaults.mRetryBudget, aSettings.mRetryBurst)
    , mSuspects({ aSettings.mSuspicionLasts, aSettings.mQuarantineLasts })
    , mCancels(mSettings)
  {
  }

  // Given
  const EntryCoreSettings mSettings;
  std::shared_ptr<const Configuration> mConfiguration;
  DispatchGate* mGate;
  Random* mRandom;

  // The event in hand
  TimePoint mNow;
  RequestCommands* mOut = nullptr;
  bool mPumpWanted = false; ///< Something may be placed now.

  // State
  std::unordered_map<std::uint64_t, std::unique_ptr<RequestState>> mRequests;
  std::unordered_map<std::string, std::uint32_t>
    mRunningDigests;                ///< Open
                                    ///< attempts, by digest.
  std::vector<std::uint64_t> mOver; ///< Dropped at the end of the event.
  UpstreamTable mUpstreams;
  CreditPool mCredits;
  PrefixHints mHints{ PrefixHintsSettings() };
  RetryBudget mBudget;
  SuspectTable mSuspects;
  CancelLedger mCancels;
  TimerQueue mTimers;
  EntryCounters mCounters;
  bool mDraining = false;

  /// Null when the request is over.
  RequestState* Find(std::uint64_t aId)
  {
    const auto it = mRequests.find(aId);
    return it == mRequests.end() ? nullptr : it->second.get();
  }

  /// Appends a command of a request.
  RequestCommand& Command(RequestCommandKind aKind,
                          const RequestState& aRequest,
                          std::uint32_t aAttempt = 0)
  {
    RequestCommand command;
    command.mKind = aKind;
    command.mId = aRequest.mArrival.mId;
    command.mAttempt = aAttempt;
    mOut->push_back(std::move(command));
    return mOut->back();
  }
};

} // namespace peridothoist
