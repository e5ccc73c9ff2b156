/// Claims and outcomes of requests that must not repeat, as rows of the
/// platform's table.
///
/// A claim is inserted before any byte of the request leaves. The row says
/// whose claim it is (entry instance and request), so that an insert whose
/// answer was lost is settled by reading the row. Every later write is on
/// condition of the row's version and of the claim still being ours.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Entry/ClaimDesk.h>
#include <Peridothoist/Platform/Backoff.h>
#include <Peridothoist/Platform/OutcomeRow.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Limits of an OutcomeStore.
struct OutcomeStoreSettings
{
  std::string mEntryInstance; ///< Of this process; names its claims.
  /// How long an insert is tried and settled before the caller is answered.
  Duration mInsertLimit = std::chrono::seconds(2);
  BackoffSettings mInsertBackoff = { std::chrono::milliseconds(20),
                                     std::chrono::milliseconds(200) };
  BackoffSettings mRecordBackoff = { std::chrono::milliseconds(100),
                                     std::chrono::seconds(5) };
};

namespace detail {

/// What claims and records share; outlives neither platform nor reactor.
struct OutcomeContext
{
  Reactor& mReactor;
  Platform& mPlatform;
  OutcomeStoreSettings mSettings;
  Random mRandom;
  std::size_t mOpenRecords = 0;

  /// The name of this process's claim for a request.
  std::string AttemptOf(std::uint64_t aRequest) const
  {
    return mSettings.mEntryInstance + "/" + std::to_string(aRequest);
  }
};

/// The wall clock in seconds, which rows carry for their retention.
std::uint64_t
UnixNow();

} // namespace detail

/// The entry's desk for claims.
class OutcomeStore : public ClaimDesk
{
public:
  using Settings = OutcomeStoreSettings;

  OutcomeStore(Reactor& aReactor,
               Platform& aPlatform,
               const Settings& aSettings,
               std::uint64_t aSeed);

  // See: ClaimDesk
  void Insert(const std::string& aWorkspace,
              const RequestCommand& aCommand,
              ClaimDone aDone) override;
  void Record(const std::string& aWorkspace,
              const RequestCommand& aCommand) override;
  std::size_t OpenRecords() const override;

private:
  std::shared_ptr<detail::OutcomeContext> mContext;
};

} // namespace peridothoist
