#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ViewShare.h>

namespace peridothoist {

ViewShare::ViewShare(ConfirmedView* aView, UpstreamRoster* aUpstreamList)
  : mView(aView)
  , mRoster(aUpstreamList)
{
}

std::uint64_t
ViewShare::TimestampOf(TimePoint aNow)
{
  return static_cast<std::uint64_t>(aNow.time_since_epoch().count());
}

std::optional<ViewTell>
ViewShare::MakeResponse(const ViewAsk& aQuery, TimePoint aNow) const
{
  const auto listedAt = mRoster->ListedAt();
  if (mView->Version() == 0 || !listedAt) {
    return std::nullopt;
  }
  ViewTell response;
  response.mStamp = aQuery.mStamp;
  response.mVersion = mView->Version();
  response.mConfigurationAge = mView->Age(aNow);
  response.mListDigest = mRoster->Digest();
  response.mListAge = aNow - *listedAt;
  return response;
}

ViewShareOutcome
ViewShare::OnTell(const ViewTell& aResponse, TimePoint aNow)
{
  const TimePoint sentAt{ Duration(
    static_cast<Duration::rep>(aResponse.mStamp)) };
  ViewShareOutcome result;
  const bool invalid = sentAt > aNow ||
                       aResponse.mConfigurationAge < Duration(0) ||
                       aResponse.mListAge < Duration(0);
  if (invalid) {
    return result; // Not a response to a query of this process.
  }
  if (aResponse.mVersion == mView->Version()) {
    mView->Confirm(sentAt - aResponse.mConfigurationAge);
  } else {
    result.mReadConfiguration = aResponse.mVersion > mView->Version();
  }
  if (aResponse.mListDigest == mRoster->Digest()) {
    mRoster->Confirm(sentAt - aResponse.mListAge);
  } else {
    const auto listedAt = mRoster->ListedAt();
    result.mReadUpstreams =
      !listedAt || *listedAt < sentAt - aResponse.mListAge;
  }
  return result;
}

} // namespace peridothoist
