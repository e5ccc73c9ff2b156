#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ViewExchange.h>

namespace peridothoist {

ViewExchange::ViewExchange(ConfirmedView* aView, UpstreamList* aUpstreamList)
  : mView(aView)
  , mUpstreamList(aUpstreamList)
{
}

std::uint64_t
ViewExchange::TimestampOf(TimePoint aNow)
{
  return static_cast<std::uint64_t>(aNow.time_since_epoch().count());
}

std::optional<ViewResponse>
ViewExchange::MakeResponse(const ViewQuery& aQuery, TimePoint aNow) const
{
  const auto listedAt = mUpstreamList->ListedAt();
  if (mView->Version() == 0 || !listedAt) {
    return std::nullopt;
  }
  ViewResponse response;
  response.mStamp = aQuery.mStamp;
  response.mVersion = mView->Version();
  response.mConfigurationAge = mView->Age(aNow);
  response.mListDigest = mUpstreamList->Digest();
  response.mListAge = aNow - *listedAt;
  response.mEvacuationDigest = mView->EvacuationDigest();
  return response;
}

/// Confirms the configuration by a peer's, which was current as of aAsOf.
/// Returns whether the peer's is to be read instead.
bool
ViewExchange::ConfirmConfiguration(const ViewResponse& aResponse,
                                   TimePoint aAsOf)
{
  if (aResponse.mVersion != mView->Version()) {
    return aResponse.mVersion > mView->Version();
  }
  const bool isStated = aResponse.mEvacuationDigest != 0;
  const bool hasSameZones =
    isStated ? aResponse.mEvacuationDigest == mView->EvacuationDigest()
             : !mView->HasEvacuations();
  if (hasSameZones) {
    mView->Confirm(aAsOf);
    return false;
  }
  return isStated && aAsOf > mView->ConfirmedAt();
}

ViewExchangeResult
ViewExchange::OnPeerResponse(const ViewResponse& aResponse, TimePoint aNow)
{
  const TimePoint sentAt{ Duration(
    static_cast<Duration::rep>(aResponse.mStamp)) };
  ViewExchangeResult result;
  const bool invalid = sentAt > aNow ||
                       aResponse.mConfigurationAge < Duration(0) ||
                       aResponse.mListAge < Duration(0);
  if (invalid) {
    return result; // Not a response to a query of this process.
  }
  result.mShouldReadConfiguration =
    ConfirmConfiguration(aResponse, sentAt - aResponse.mConfigurationAge);
  if (aResponse.mListDigest == mUpstreamList->Digest()) {
    mUpstreamList->Confirm(sentAt - aResponse.mListAge);
  } else {
    const auto listedAt = mUpstreamList->ListedAt();
    result.mShouldReadUpstreams =
      !listedAt || *listedAt < sentAt - aResponse.mListAge;
  }
  return result;
}

} // namespace peridothoist
