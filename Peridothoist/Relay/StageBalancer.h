/// Chooses prefill engines that are to switch to decoding. A prompt is read
/// quickly, while a generated stream holds memory for seconds, so a fleet with
/// too many prefill engines runs out of decode memory while those are idle.
///
/// Every VM with the same upstream list chooses the same engines in the same
/// order, so two VMs that both act as the leader together order no more engines
/// than one would.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <set>

namespace peridothoist {

/// Settings of StageBalancer.
struct StageBalancerSettings
{
  /// Fraction of a service's engines to keep on prefill; 0 switches none.
  double mPrefillFraction = 0.2;
  std::size_t mMinPrefillEngines = 2; ///< Prefill engines kept per service.
  /// An engine is ordered only after it has been listed for this time.
  Duration mMinListedTime = 1500ms;
  /// The same for an engine that restarted under its id. It exceeds the time
  /// within which the orders of two lease holders may come out of sequence.
  Duration mMinRestartedTime = 4s;
};

/// Chooses the engines to switch.
class StageBalancer
{
public:
  using Settings = StageBalancerSettings;

  explicit StageBalancer(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Returns the prefill engines that are to be ordered to decode now.
  std::vector<RelayUpstream> Choose(const UpstreamList& aUpstreamList,
                                    TimePoint aNow);

  /// Called when this VM or another ordered an engine. Each incarnation of an
  /// engine is ordered at most once.
  void OnOrdered(const RelayUpstream& aEngine)
  {
    mOrdered.insert(IncarnationKey(aEngine));
  }
  /// Called when the engine was not ordered after all.
  void OnOrderFailed(const RelayUpstream& aEngine)
  {
    mOrdered.erase(IncarnationKey(aEngine));
  }

  /// Returns a key for one incarnation of an engine, new with each start.
  static std::string IncarnationKey(const RelayUpstream& aEngine);

private:
  using Engines = std::vector<const RelayUpstream*>;

  void UpdateEligibility(const UpstreamList& aUpstreamList, TimePoint aNow);
  Engines ChooseAmong(const Engines& aPrefill, std::size_t aExcess) const;

  Settings mSettings;
  /// The time from which an incarnation may be ordered.
  std::map<std::string, TimePoint> mEligibleAt;
  std::set<std::string> mIds;     ///< Ids in the last list.
  std::set<std::string> mOrdered; ///< Incarnations that were ordered.
};

} // namespace peridothoist
