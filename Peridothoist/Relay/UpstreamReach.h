/// Tells whether this VM can connect to upstreams. Several upstreams in a row
/// that it can't connect to, of any services, show that it is cut off; one
/// connection shows that it is not.
///
/// Only connections count, not responses: an upstream in good order may be
/// silent, and a connection made before a cut may live on.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

#include <set>

namespace peridothoist {

/// A VM through which upstreams can be called.
struct TunnelPeer
{
  std::string mZone;
  std::string mAddress; ///< "ip:port" of its tunnels.
};

/// Finds VMs that reach upstreams and offer tunnels to them.
class TunnelPeers
{
public:
  virtual ~TunnelPeers() = default;

  virtual std::vector<TunnelPeer> FindTunnelPeers() const = 0;
};

/// Settings of UpstreamReach.
struct UpstreamReachSettings
{
  /// Number of different upstreams in a row, or all that are listed if these
  /// are fewer, whose connections must have failed.
  std::size_t mMinUnreached = 2;
  /// Time from the first failed connection to a check whether another upstream
  /// can be connected to. Requests mostly show it earlier.
  Duration mFirstCheckDelay = 100ms;
  Duration mCheckInterval = 500ms; ///< Of further checks, while cut off.
  /// A VM whose tunnel failed for its own sake is not used for this long.
  Duration mPeerAvoidance = 1s;
};

/// Holds what this VM's own connections have shown.
class UpstreamReach
{
public:
  using Settings = UpstreamReachSettings;

  explicit UpstreamReach(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Called when a connection to an upstream was made. Returns whether this VM
  /// was cut off.
  bool OnConnected();

  /// Called when a connection to an upstream could not be made, with the number
  /// of listed upstreams. Returns whether this VM is cut off since now.
  bool OnNotConnected(const std::string& aUpstream,
                      std::size_t aListed,
                      TimePoint aNow);

  /// Called when an upstream is not listed any more.
  void Forget(const std::string& aUpstream);

  /// Returns whether this VM reaches no upstream.
  bool IsCutOff() const { return mIsCutOff; }
  /// Returns whether the last connection failed.
  bool IsInDoubt() const { return !mUnreached.empty(); }
  /// Returns the upstreams whose connections failed since the last one that was
  /// made.
  const std::set<std::string>& Unreached() const { return mUnreached; }

  /// Sets where to find tunnels; not owned. Null: there are none.
  void SetPeers(const TunnelPeers* aPeers) { mPeers = aPeers; }
  /// Called when a tunnel failed for the sake of the VM that offers it.
  void OnPeerFailed(const std::string& aAddress, TimePoint aNow);
  /// Returns the address of a tunnel, in aZone if there is one; "" if there is
  /// none.
  std::string ChooseTunnel(const std::string& aZone,
                           TimePoint aNow,
                           Random* aRandom) const;

  /// Returns when the next check is due; nullopt: none is needed.
  std::optional<TimePoint> NextCheck() const;
  void OnCheckStarted(TimePoint aNow);

private:
  Settings mSettings;
  bool mIsCutOff = false;
  std::set<std::string> mUnreached;
  TimePoint mNextCheck; ///< With mUnreached.
  const TunnelPeers* mPeers = nullptr;
  std::map<std::string, TimePoint> mAvoidedPeers; ///< Until when, by address.
};

} // namespace peridothoist
