/// The entry's decisions about requests, without input or output. Events go
/// in by the On...() methods; each appends commands for the shell. All calls
/// come from one thread, and never from within another.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/Arrival.h>
#include <Peridothoist/Request/DispatchGate.h>
#include <Peridothoist/Request/EntryCoreSettings.h>
#include <Peridothoist/Request/EntryCounters.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist {

/// A digest that was present at upstream crashes, as peers exchange it.
struct QuarantinedDigest
{
  std::string mDigest;
  Duration mLasts{ 0 }; ///< From now on.
};

/// Decides for one entry process.
class EntryCore
{
public:
  using Settings = EntryCoreSettings;

  /// Makes a core. aGate and aRandom are not owned and outlive it; aZone is
  /// this VM's zone. Null when aConfiguration or aGate is null.
  static std::unique_ptr<EntryCore> Create(
    const Settings& aSettings,
    std::shared_ptr<const Configuration> aConfiguration,
    DispatchGate* aGate,
    Random* aRandom);
  ~EntryCore();

  /// Puts a configuration in force. Upstreams that leave or are gone from it
  /// get nothing new from now on; what runs there goes on.
  void SetConfiguration(std::shared_ptr<const Configuration> aConfiguration,
                        TimePoint aNow,
                        RequestCommands& aOut);

  /// How many entries share the upstreams (at least 1), this one included.
  void SetEntryCount(std::uint32_t aCount);

  // Requests
  void OnArrival(Arrival aArrival, TimePoint aNow, RequestCommands& aOut);
  void OnCallerGone(std::uint64_t aId, TimePoint aNow, RequestCommands& aOut);
  void OnClaimAnswer(std::uint64_t aId,
                     const ClaimAnswer& aAnswer,
                     TimePoint aNow,
                     RequestCommands& aOut);
  void OnReserveAnswer(std::uint64_t aId,
                       std::uint32_t aAttempt,
                       const ReserveAnswer& aAnswer,
                       TimePoint aNow,
                       RequestCommands& aOut);
  void OnPrefillAnswer(std::uint64_t aId,
                       std::uint32_t aAttempt,
                       const PrefillAnswer& aAnswer,
                       TimePoint aNow,
                       RequestCommands& aOut);
  void OnImportAnswer(std::uint64_t aId,
                      std::uint32_t aAttempt,
                      const ImportAnswer& aAnswer,
                      TimePoint aNow,
                      RequestCommands& aOut);
  void OnToken(std::uint64_t aId,
               std::uint32_t aAttempt,
               std::uint32_t aIndex,
               std::string aText,
               TimePoint aNow,
               RequestCommands& aOut);
  void OnDecodeEnd(std::uint64_t aId,
                   std::uint32_t aAttempt,
                   const DecodeEnd& aEnd,
                   TimePoint aNow,
                   RequestCommands& aOut);
  void OnPlainAnswer(std::uint64_t aId,
                     std::uint32_t aAttempt,
                     PlainAnswer aAnswer,
                     TimePoint aNow,
                     RequestCommands& aOut);
  void OnCancelAnswer(const std::string& aUpstream,
                      std::uint64_t aId,
                      std::uint32_t aAttempt,
                      bool aOk,
                      TimePoint aNow,
                      RequestCommands& aOut);

  /// The last check before the bytes of Prefill or CallPlain leave: false
  /// when the attempt is over or the key no longer good. Ask it from
  /// HttpCallListener::OnBeforeSend(); answer Withheld when it says no.
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
  /// A peer quarantined a digest.
  void OnQuarantine(const std::string& aDigest,
                    Duration aLasts,
                    TimePoint aNow,
                    RequestCommands& aOut);
  /// A peer saw a digest at one crash: it runs apart from others here too.
  void OnSuspect(const std::string& aDigest, Duration aLasts, TimePoint aNow);
  /// What to tell peers.
  std::vector<QuarantinedDigest> Quarantined(TimePoint aNow) const;
  std::vector<QuarantinedDigest> Suspects(TimePoint aNow) const;

  /// Drives deadlines, hedges, retries and the queue. Due at NextTick().
  void OnTick(TimePoint aNow, RequestCommands& aOut);

  /// When OnTick() is next due; nothing when no timer is set.
  std::optional<TimePoint> NextTick() const;

  /// Begins a graceful shutdown: cuts nothing, and still serves what comes.
  void StartDrain();

  /// No request, no kept claim and no cancel is open, but for cancels at
  /// upstreams that are dead.
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
