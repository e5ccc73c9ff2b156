/// Keeps an entry's view up to date by polling a control process: the one on
/// the same VM, or another one while that does not provide a fresh view.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Fills in the requests to the control process and receives its responses.
class EntryViewPollerListener
{
public:
  virtual ~EntryViewPollerListener() = default;

  /// Adds this entry's own state to a request: addresses, quarantine and
  /// whether it is leaving.
  virtual void FillFollowRequest(peer::FollowRequest& aRequest) = 0;

  /// Called after a response was applied to the view.
  virtual void OnViewUpdate(const peer::ViewUpdate& aUpdate) = 0;
};

/// Settings of an EntryViewPoller.
struct EntryViewPollerSettings
{
  /// "ip:port" of each control process, the one on this VM first.
  std::vector<std::string> mControls;
  Duration mInterval = 200ms;        ///< Between a response and the next poll.
  Duration mResponseTimeout = 500ms; ///< Time limit of one poll.
  /// Time after which a poller that left the control process on this VM tries
  /// it again.
  Duration mLocalControlRetryInterval = 2s;
};

/// Polls one control process at a time.
class EntryViewPoller
{
public:
  using Settings = EntryViewPollerSettings;

  /// The pointers are not owned.
  EntryViewPoller(const Settings& aSettings,
                  Reactor* aReactor,
                  PeerClient* aClient,
                  EntryView* aView,
                  EntryViewPollerListener* aListener);
  ~EntryViewPoller();

  /// Polls at once and then after each interval.
  void Start();

private:
  void Poll();
  void OnResponse(const std::optional<peer::ViewUpdate>& aUpdate,
                  const Reason& aReason,
                  TimePoint aSent);
  void ChooseControl(TimePoint aNow);

  Settings mSettings;
  Reactor* mReactor;
  PeerClient* mClient;
  EntryView* mView;
  EntryViewPollerListener* mListener;
  Reactor::TimerId mTimer = 0;
  std::size_t mControlIndex = 0; ///< Index of the polled control process.
  /// When the control process on this VM last failed to provide a fresh view.
  TimePoint mLeftLocalControlAt;
  /// The last response left the view fresh. Used to log only the first failure.
  bool mWasLastUseful = true;
};

} // namespace peridothoist
