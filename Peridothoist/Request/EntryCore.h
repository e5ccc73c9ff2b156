/// The request handling logic of an entry process, without input or output.
/// Events are passed in through the On...() methods, which append commands for
/// the shell to aOut. All methods must be called from one thread and are not
/// reentrant.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/Arrival.h>
#include <Peridothoist/Request/DispatchPolicy.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/EntryCounters.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist {

/// A digest of requests that were present at upstream crashes, as exchanged
/// between peers. Used for suspects as well as for quarantined digests.
struct QuarantinedDigest
{
  std::string mDigest;
  Duration mRemaining{ 0 }; ///< Time until its suspicion or quarantine ends.
};

/// The core of one entry process.
class EntryCore
{
public:
  using Settings = EntryCoreSettings;

  /// Creates a core. aDispatchPolicy and aRandom are not owned and must outlive
  /// it. Returns null if any of the pointers is null.
  static std::unique_ptr<EntryCore> Create(
    const Settings& aSettings,
    std::shared_ptr<const Configuration> aConfiguration,
    DispatchPolicy* aDispatchPolicy,
    Random* aRandom);
  ~EntryCore();

  /// Applies a configuration. Upstreams that are leaving or no longer listed
  /// get no new requests; requests that already run there continue.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration,
                        TimePoint aNow,
                        RequestCommands& aOut);

  /// Sets how many entries share the upstreams (at least 1), including this
  /// one.
  void SetEntryCount(std::uint32_t aCount);

  // Requests
  void OnArrival(Arrival aArrival, TimePoint aNow, RequestCommands& aOut);
  void OnCallerDisconnected(std::uint64_t aId,
                            TimePoint aNow,
                            RequestCommands& aOut);
  void OnClaimResult(std::uint64_t aId,
                     const ClaimResult& aResult,
                     TimePoint aNow,
                     RequestCommands& aOut);
  void OnReserveResult(std::uint64_t aId,
                       std::uint32_t aAttempt,
                       const ReserveResult& aResult,
                       TimePoint aNow,
                       RequestCommands& aOut);
  void OnPrefillResult(std::uint64_t aId,
                       std::uint32_t aAttempt,
                       const PrefillResult& aResult,
                       TimePoint aNow,
                       RequestCommands& aOut);
  void OnImportResult(std::uint64_t aId,
                      std::uint32_t aAttempt,
                      const ImportResult& aResult,
                      TimePoint aNow,
                      RequestCommands& aOut);
  void OnToken(std::uint64_t aId,
               std::uint32_t aAttempt,
               std::uint32_t aIndex,
               std::string aText,
               TimePoint aNow,
               RequestCommands& aOut);
  void OnDecodeResult(std::uint64_t aId,
                      std::uint32_t aAttempt,
                      const DecodeResult& aResult,
                      TimePoint aNow,
                      RequestCommands& aOut);
  void OnPlainResult(std::uint64_t aId,
                     std::uint32_t aAttempt,
                     PlainResult aResult,
                     TimePoint aNow,
                     RequestCommands& aOut);
  void OnCancelResult(const std::string& aUpstream,
                      std::uint64_t aId,
                      std::uint32_t aAttempt,
                      bool aOk,
                      TimePoint aNow,
                      RequestCommands& aOut);

  /// The last check before the content of Prefill or CallPlain is sent. Returns
  /// false if the attempt has ended or the key is no longer valid. Called from
  /// HttpCallListener::OnBeforeSend(); if it returns false, the call must end
  /// as CallEnd::Withheld.
  bool MayStillSend(std::uint64_t aId, std::uint32_t aAttempt, TimePoint aNow);

  // Upstreams
  void OnLoadReport(const std::string& aUpstream,
                    const LoadReport& aReport,
                    TimePoint aNow,
                    RequestCommands& aOut);
  void OnCacheEvent(const std::string& aUpstream,
                    std::uint64_t aPrefix,
                    bool aStored,
                    TimePoint aNow);
  void OnUpstreamDead(const std::string& aUpstream,
                      DeathKind aKind,
                      TimePoint aNow,
                      RequestCommands& aOut);
  void OnUpstreamAlive(const std::string& aUpstream,
                       TimePoint aNow,
                       RequestCommands& aOut);

  // Peers
  /// Called when a peer has quarantined a digest.
  void OnQuarantine(const std::string& aDigest,
                    Duration aRemaining,
                    TimePoint aNow,
                    RequestCommands& aOut);
  /// Called when a peer saw a digest at one crash: its requests run in
  /// isolation here, too.
  void OnSuspect(const std::string& aDigest,
                 Duration aRemaining,
                 TimePoint aNow);
  /// Return the digests to send to peers.
  std::vector<QuarantinedDigest> Quarantined(TimePoint aNow) const;
  std::vector<QuarantinedDigest> Suspects(TimePoint aNow) const;

  /// Handles deadlines, hedges, retries and the queue. Due at NextTick().
  void OnTick(TimePoint aNow, RequestCommands& aOut);

  /// Returns when OnTick() is next due; nullopt if no timer is set.
  std::optional<TimePoint> NextTick() const;

  /// Starts a graceful shutdown. Nothing is interrupted, and arriving requests
  /// are still served.
  void StartDrain();

  /// Returns whether no request, claim or cancel is open, other than cancels at
  /// dead upstreams.
  bool IsIdle() const;

  // Metrics
  const EntryCounters& Counters() const;
  std::size_t OpenRequests() const;
  std::size_t QueueLength() const;
  std::size_t QueueLength(const std::string& aWorkspace) const;
  std::uint32_t InFlight(const std::string& aUpstream) const;
  std::size_t OpenCancels() const;

private:
  struct Impl;
  explicit EntryCore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace peridothoist
