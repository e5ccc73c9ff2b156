/// How VMs share one VM's reads of the platform's store. A VM asks a peer with
/// a stamp of its own clock; the peer answers with the stamp, the version that
/// it holds and how long ago that was confirmed. Whatever the answer's way
/// took, the peer answered after the stamp was made, so what it holds was
/// confirmed no earlier than the stamp less the stated age. A VM that was
/// frozen, or an answer that came late, can't make a view look younger than it
/// is.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/UpstreamRoster.h>

namespace peridothoist {

/// A question for a peer's view.
struct ViewAsk
{
  std::uint64_t mStamp = 0; ///< The asker's clock; means nothing to the peer.
  std::string mAnswerTo;    ///< The asker's peer address, "ip:port".
};

/// The answer.
struct ViewTell
{
  std::uint64_t mStamp = 0;        ///< As asked.
  std::uint64_t mVersion = 0;      ///< Of the peer's configuration.
  Duration mConfigurationAge{ 0 }; ///< Since it was confirmed.
  std::uint64_t mListDigest = 0;   ///< Of the peer's list of upstreams.
  Duration mListAge{ 0 };          ///< Since that was confirmed.
};

/// What an answer calls for.
struct ViewShareOutcome
{
  bool mReadConfiguration = false; ///< The peer has a newer one.
  bool mReadUpstreams = false;     ///< The peer has another list.
};

/// Confirms a VM's own view by its peers' answers.
class ViewShare
{
public:
  /// Nothing is owned.
  ViewShare(ConfirmedView* aView, UpstreamRoster* aRoster);

  /// The question to send now.
  static std::uint64_t StampOf(TimePoint aNow);

  /// This VM's answer; nothing when it holds no whole view.
  std::optional<ViewTell> Answer(const ViewAsk& aAsk, TimePoint aNow) const;

  /// Takes a peer's answer.
  ViewShareOutcome OnTell(const ViewTell& aTell, TimePoint aNow);

private:
  ConfirmedView* mView;
  UpstreamRoster* mRoster;
};

} // namespace peridothoist
