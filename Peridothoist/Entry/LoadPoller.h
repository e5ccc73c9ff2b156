/// Polls upstreams for their load and prefill engines also for cache events,
/// and detects upstreams that are down.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Notified of load reports, cache events and changes of availability.
class LoadPollerListener
{
public:
  virtual ~LoadPollerListener() = default;

  virtual void OnLoadReport(const std::string& aUpstream,
                            const LoadReport& aReport) = 0;
  virtual void OnCacheEvent(const std::string& aUpstream,
                            std::uint64_t aPrefix,
                            bool aStored) = 0;
  virtual void OnUpstreamDead(const std::string& aUpstream,
                              DeathKind aKind) = 0;
  virtual void OnUpstreamAlive(const std::string& aUpstream) = 0;
};

/// Settings of a LoadPoller.
struct LoadPollerSettings
{
  Duration mInterval = 200ms;     ///< Between two polls of one upstream.
  Duration mResponseTimeout = 1s; ///< Time limit of one poll.
  /// Number of consecutive failures after which an upstream counts as dead.
  std::uint32_t mDeadAfterFailures = 2;
};

/// Polls the upstreams of the active configuration.
class LoadPoller
{
public:
  using Settings = LoadPollerSettings;

  /// The pointers are not owned.
  LoadPoller(const Settings& aSettings,
             Reactor* aReactor,
             HttpClient* aClient,
             LoadPollerListener* aListener);
  ~LoadPoller();

  /// Replaces the polled upstreams by those of aConfiguration.
  void SetConfiguration(const Configuration& aConfiguration);

  /// Polls the upstream at once because a call to it failed. One more failure
  /// is then enough for it to count as dead.
  void ProbeNow(const std::string& aName);

private:
  struct PolledUpstream
  {
    std::string mAddress;
    UpstreamRole mRole = UpstreamRole::Plain;
    std::uint32_t mFailures = 0;       ///< Consecutive failures.
    bool mIsDead = false;              ///< State last reported to the listener.
    bool mIsRequestPending = false;    ///< A load request is in flight.
    std::uint64_t mNextCacheEvent = 0; ///< Next cache event to request.
  };

  void PollAll();
  void RequestLoad(const std::string& aName, PolledUpstream& aUpstream);
  void RequestCacheEvents(const std::string& aName,
                          const PolledUpstream& aUpstream);
  void OnLoad(const std::string& aName,
              const HttpCallResult& aResult,
              const std::string& aBody);
  void OnCacheEvents(const std::string& aName, const std::string& aBody);
  void OnFailure(const std::string& aName,
                 PolledUpstream& aUpstream,
                 const HttpCallResult& aResult);
  HttpCall MakeCall(const PolledUpstream& aUpstream,
                    const std::string& aPath) const;

  Settings mSettings;
  Reactor* mReactor;
  HttpClient* mClient;
  LoadPollerListener* mListener;
  std::map<std::string, PolledUpstream> mUpstreams; ///< By upstream name.
  Reactor::TimerId mTimer = 0;
};

} // namespace peridothoist
