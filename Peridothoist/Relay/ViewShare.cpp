#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ViewShare.h>

namespace peridothoist {

ViewShare::ViewShare(ConfirmedView* aView, UpstreamRoster* aRoster)
  : mView(aView)
  , mRoster(aRoster)
{
}

std::uint64_t
ViewShare::StampOf(TimePoint aNow)
{
  return static_cast<std::uint64_t>(aNow.time_since_epoch().count());
}

std::optional<ViewTell>
ViewShare::Answer(const ViewAsk& aAsk, TimePoint aNow) const
{
  const auto listedAt = mRoster->ListedAt();
  if (mView->Version() == 0 || !listedAt) {
    return std::nullopt;
  }
  ViewTell tell;
  tell.mStamp = aAsk.mStamp;
  tell.mVersion = mView->Version();
  tell.mConfigurationAge = mView->Age(aNow);
  tell.mListDigest = mRoster->Digest();
  tell.mListAge = aNow - *listedAt;
  return tell;
}

ViewShareOutcome
ViewShare::OnTell(const ViewTell& aTell, TimePoint aNow)
{
  const TimePoint asked{ Duration(static_cast<Duration::rep>(aTell.mStamp)) };
  ViewShareOutcome outcome;
  const bool odd = asked > aNow || aTell.mConfigurationAge < Duration(0) ||
                   aTell.mListAge < Duration(0);
  if (odd) {
    return outcome; // Not an answer to a question of this process.
  }
  if (aTell.mVersion == mView->Version()) {
    mView->Confirm(asked - aTell.mConfigurationAge);
  } else {
    outcome.mReadConfiguration = aTell.mVersion > mView->Version();
  }
  if (aTell.mListDigest == mRoster->Digest()) {
    mRoster->Confirm(asked - aTell.mListAge);
  } else {
    const auto listedAt = mRoster->ListedAt();
    outcome.mReadUpstreams = !listedAt || *listedAt < asked - aTell.mListAge;
  }
  return outcome;
}

} // namespace peridothoist
