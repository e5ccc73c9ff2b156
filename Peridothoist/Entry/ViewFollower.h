/// Keeps an entry's view up to date by asking control processes: the own VM's
/// first, another one when that does not answer.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Gives the parts of a question that change, and takes what came back.
class ViewFollowerListener
{
public:
  virtual ~ViewFollowerListener() = default;

  /// Adds what this entry has to say: demand, quarantine, leaving.
  virtual void FillQuestion(peer::FollowRequest& aRequest) = 0;

  /// An answer was applied.
  virtual void OnFollowed(const peer::ViewUpdate& aUpdate) = 0;
};

/// Settings of a ViewFollower.
struct ViewFollowerSettings
{
  std::vector<std::string> mControls; ///< "ip:port", own VM's first.
  Duration mInterval = 200ms;         ///< Between questions.
  Duration mDeadline = 500ms;         ///< For one answer.
  Duration mRetryOwn = 2s; ///< How long to stay with another VM's control.
};

/// Follows one control process at a time.
class ViewFollower
{
public:
  using Settings = ViewFollowerSettings;

  /// Nothing is owned.
  ViewFollower(const Settings& aSettings,
               Reactor* aReactor,
               PeerClient* aClient,
               EntryView* aView,
               ViewFollowerListener* aListener);
  ~ViewFollower();

  /// Asks at once and then at each interval.
  void Start();

private:
  void Ask();
  void OnAnswer(const std::optional<peer::ViewUpdate>& aUpdate,
                const Reason& aReason,
                TimePoint aSent);
  void ChooseControl(TimePoint aNow);

  Settings mSettings;
  Reactor* mReactor;
  PeerClient* mClient;
  EntryView* mView;
  ViewFollowerListener* mListener;
  Reactor::TimerId mTimer = 0;
  std::size_t mControl = 0;  ///< Index of the control that is asked.
  TimePoint mLeftOwnAt;      ///< When the own VM's was last given up.
  bool mLastAnswered = true; ///< For logging changes only.
};

} // namespace peridothoist
