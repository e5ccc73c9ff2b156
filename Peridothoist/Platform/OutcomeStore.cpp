/// Stores claims and outcomes of requests that must not run twice.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Platform/OutcomeStore.h>

#include <Peridothoist/Platform/InsertClaimOperation.h>
#include <Peridothoist/Platform/RecordOutcomeOperation.h>

namespace peridothoist {

std::uint64_t
detail::UnixTimeSeconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::seconds>(now).count());
}

OutcomeStore::OutcomeStore(Reactor& aReactor,
                           Platform& aPlatform,
                           const Settings& aSettings,
                           std::uint64_t aSeed)
  : mContext(std::make_shared<detail::OutcomeStoreContext>(
      detail::OutcomeStoreContext{ aReactor,
                                   aPlatform,
                                   aSettings,
                                   Random(aSeed),
                                   0 }))
{
}

void
OutcomeStore::InsertClaim(const std::string& aWorkspace,
                          const RequestCommand& aCommand,
                          ClaimCallback aCallback)
{
  detail::InsertClaimOperation::Start(
    mContext, aWorkspace, aCommand, std::move(aCallback));
}

void
OutcomeStore::RecordOutcome(const std::string& aWorkspace,
                            const RequestCommand& aCommand)
{
  detail::RecordOutcomeOperation::Start(mContext, aWorkspace, aCommand);
}

std::size_t
OutcomeStore::PendingOutcomes() const
{
  return mContext->mPendingOutcomes;
}

} // namespace peridothoist
