/// Asks upstreams for their load and prefill engines for cache events, and
/// notices those that are gone.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Told what upstreams said.
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
  Duration mInterval = 200ms;   ///< Between two questions to one upstream.
  Duration mAnswerTimeout = 1s; ///< For one answer.
  std::uint32_t mDeadAfter = 2; ///< Failures in a row that mean death.
};

/// Polls the upstreams of the present configuration.
class LoadPoller
{
public:
  using Settings = LoadPollerSettings;

  /// Nothing is owned.
  LoadPoller(const Settings& aSettings,
             Reactor* aReactor,
             HttpClient* aClient,
             LoadPollerListener* aListener);
  ~LoadPoller();

  /// Polls the upstreams of aConfiguration from now on.
  void SetConfiguration(const Configuration& aConfiguration);

  /// A call to the upstream failed: looks at once whether it is gone, and
  /// takes one more failure for its death.
  void CheckNow(const std::string& aUpstream);

private:
  struct Polled
  {
    std::string mAddress;
    UpstreamRole mRole = UpstreamRole::Plain;
    std::uint32_t mFailures = 0;   ///< In a row.
    bool mDead = false;            ///< As last told to the listener.
    bool mAsking = false;          ///< A question is on its way.
    std::uint64_t mCacheAfter = 0; ///< Next cache event to ask for.
  };

  void PollAll();
  void Ask(const std::string& aName, Polled& aPolled);
  void AskCacheEvents(const std::string& aName, const Polled& aPolled);
  void OnLoad(const std::string& aName,
              const HttpCallOutcome& aOutcome,
              const std::string& aBody);
  void OnCacheEvents(const std::string& aName, const std::string& aBody);
  void OnFailure(const std::string& aName,
                 Polled& aPolled,
                 const HttpCallOutcome& aOutcome);
  HttpCall MakeCall(const Polled& aPolled, const std::string& aPath) const;

  Settings mSettings;
  Reactor* mReactor;
  HttpClient* mClient;
  LoadPollerListener* mListener;
  std::map<std::string, Polled> mPolled; ///< By upstream name.
  Reactor::TimerId mTimer = 0;
};

} // namespace peridothoist
