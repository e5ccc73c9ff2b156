/// Stores claims and outcomes of requests that must not run twice as rows of
/// the platform's table.
///
/// A claim is inserted before any byte of the request is sent. The row
/// identifies the claim's owner (entry instance and request), so an insert
/// whose response was lost is resolved by reading the row. Every later write
/// requires that the row still has the expected version and holds our claim.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Entry/ClaimStore.h>
#include <Peridothoist/Platform/Backoff.h>
#include <Peridothoist/Platform/OutcomeRow.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Limits of an OutcomeStore.
struct OutcomeStoreSettings
{
  /// Instance of this entry process; part of its claims' ids.
  std::string mEntryInstance;
  /// Time limit for inserting a claim and resolving a lost response, after
  /// which the caller gets an error.
  Duration mInsertTimeout = std::chrono::seconds(2);
  BackoffSettings mInsertBackoff = { std::chrono::milliseconds(20),
                                     std::chrono::milliseconds(200) };
  BackoffSettings mRecordBackoff = { std::chrono::milliseconds(100),
                                     std::chrono::seconds(5) };
};

namespace detail {

/// State shared by all operations of a store. Must not outlive the platform
/// and the reactor.
struct OutcomeStoreContext
{
  Reactor& mReactor;
  Platform& mPlatform;
  OutcomeStoreSettings mSettings;
  Random mRandom;
  std::size_t mPendingOutcomes = 0;

  /// Returns the id of this process's claim for a request.
  std::string MakeAttemptId(std::uint64_t aRequest) const
  {
    return mSettings.mEntryInstance + "/" + std::to_string(aRequest);
  }
};

/// Returns the wall clock time in seconds, which rows store for retention.
std::uint64_t
UnixTimeSeconds();

} // namespace detail

/// ClaimStore of an entry, backed by the platform's table.
class OutcomeStore : public ClaimStore
{
public:
  using Settings = OutcomeStoreSettings;

  OutcomeStore(Reactor& aReactor,
               Platform& aPlatform,
               const Settings& aSettings,
               std::uint64_t aSeed);

  // See: ClaimStore
  void InsertClaim(const std::string& aWorkspace,
                   const RequestCommand& aCommand,
                   ClaimCallback aCallback) override;
  void RecordOutcome(const std::string& aWorkspace,
                     const RequestCommand& aCommand) override;
  std::size_t PendingOutcomes() const override;

private:
  std::shared_ptr<detail::OutcomeStoreContext> mContext;
};

} // namespace peridothoist
