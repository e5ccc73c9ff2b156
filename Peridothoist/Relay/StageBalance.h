/// Chooses engines that read prompts to generate instead. Prompts are read
/// fast and generated tokens hold memory for seconds, so a fleet that has many
/// engines for prompts runs out of memory while those are idle.
///
/// Every VM with the same list chooses the same engines, in the same order, so
/// two that both think they lead don't order more than one would.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamRoster.h>

#include <set>

namespace peridothoist {

/// Settings of a StageBalance.
struct StageBalanceSettings
{
  double mPrefillPart = 0.2;     ///< Of a service's engines; 0: leave them all.
  std::size_t mLeastPrefill = 2; ///< Of a service.
  Duration mLeastListed = 1500ms; ///< An engine is left alone until then.
  /// And for so long when it was started anew under its id: over the time
  /// within which two holders' orders may not take turns.
  Duration mLeastReborn = 4s;
};

/// Makes the choice.
class StageBalance
{
public:
  using Settings = StageBalanceSettings;

  explicit StageBalance(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Prefill engines that are to be ordered to decode now.
  std::vector<RelayUpstream> Choose(const UpstreamRoster& aRoster,
                                    TimePoint aNow);

  /// An engine was ordered, by this VM or another: its life has had its order.
  void OnTaken(const RelayUpstream& aEngine) { mTaken.insert(LifeOf(aEngine)); }
  /// It wasn't, after all.
  void OnNotTaken(const RelayUpstream& aEngine)
  {
    mTaken.erase(LifeOf(aEngine));
  }

  /// A name for one life of an engine: new with each of its starts.
  static std::string LifeOf(const RelayUpstream& aEngine);

private:
  using Engines = std::vector<const RelayUpstream*>;

  void NoteListed(const UpstreamRoster& aRoster, TimePoint aNow);
  Engines ChooseAmong(const Engines& aPrefill, std::size_t aExcess) const;

  Settings mSettings;
  /// When a life may have its order.
  std::map<std::string, TimePoint> mOrderFrom;
  std::set<std::string> mIds;   ///< That were listed last.
  std::set<std::string> mTaken; ///< Lives.
};

} // namespace peridothoist
