/// Chooses the upstream for one send: the least loaded one, with its own
/// availability zone preferred while that costs no time.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Relay/LoadBoard.h>
#include <Peridothoist/Relay/UpstreamRoster.h>

#include <set>

namespace peridothoist {

/// What is asked for.
struct ChoiceQuestion
{
  std::string mService;
  RelayStage mStage = RelayStage::Plain;
  std::string mZone;               ///< Preferred.
  std::uint64_t mTokens = 0;       ///< KV memory that the request needs.
  std::uint64_t mMemoryTokens = 0; ///< Of one engine; 0: not counted.
  std::set<std::string> mExcluded; ///< Ids that were tried.
};

/// Why there is no choice.
enum class NoChoice
{
  None,       ///< There is one.
  NoUpstream, ///< None takes work, or all were tried.
  Full        ///< All that take work are full.
};

const char*
ToName(NoChoice aReason);

/// The outcome of a choice.
struct Choice
{
  const RelayUpstream* mUpstream = nullptr;
  NoChoice mWhyNot = NoChoice::None;
  double mScore = 0; ///< Lower is better; comparable within a stage.
};

/// Settings of UpstreamChooser.
struct UpstreamChooserSettings
{
  /// How many more requests an upstream of the own zone may have than one of
  /// another zone and still be preferred.
  double mPlainZoneWorth = 3.0;
  double mEngineZoneWorth = 1.5;
  /// Requests that one which fails all its calls seems to have more.
  double mFailureWeight = 8;
  /// In a large fleet news are old: for each second, the choice is spread over
  /// upstreams that seem to have so many requests more than the least, and so
  /// much of the memory is left free.
  double mSpreadPerSecond = 2;
  double mFreePerSecond = 0.16;
  double mLapsedPenalty = 50;    ///< In requests: its entry is missing.
  double mPlainFullness = 3.0;   ///< Requests for each slot when it is full.
  double mEngineFullness = 0.94; ///< Part of the KV memory that is used.
};

/// Chooses upstreams.
class UpstreamChooser
{
public:
  using Settings = UpstreamChooserSettings;

  /// Nothing is owned.
  UpstreamChooser(const Settings& aSettings,
                  const UpstreamRoster* aRoster,
                  const LoadBoard* aLoads,
                  Random* aRandom);

  Choice Choose(const ChoiceQuestion& aQuestion, TimePoint aNow);

  /// How many such requests all upstreams together have room for.
  double RoomFor(const ChoiceQuestion& aQuestion, TimePoint aNow) const;

private:
  double RoomAt(const RelayUpstream& aUpstream,
                const ChoiceQuestion& aQuestion,
                TimePoint aNow) const;
  bool IsFull(const RelayUpstream& aUpstream,
              const ChoiceQuestion& aQuestion,
              TimePoint aNow) const;
  double Score(const RelayUpstream& aUpstream,
               const ChoiceQuestion& aQuestion,
               TimePoint aNow) const;

  Settings mSettings;
  const UpstreamRoster* mRoster;
  const LoadBoard* mLoads;
  Random* mRandom;
};

} // namespace peridothoist
