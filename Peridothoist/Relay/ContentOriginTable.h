/// Remembers which origins the recent streams of each content have. Streams of
/// one content may have begun at several software versions; the content alone
/// then does not tell to which of them an attempt belongs.
///
/// Invariant: Find() states all origins that were added for the key within the
/// time for which it states to be complete.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/StreamOriginTable.h>

#include <deque>
#include <set>
#include <unordered_map>

namespace peridothoist {

/// What one VM knows about the streams of a content.
struct ContentOrigins
{
  /// Different from each other. More than one: the content is ambiguous.
  std::vector<StreamOrigin> mOrigins;
  /// Origins that this VM was sent within this time are all in mOrigins.
  Duration mCompleteFor{ 0 };
};

/// Holds origins by content key. Does not depend on the order of additions.
class ContentOriginTable
{
public:
  using Settings = StreamOriginTableSettings;

  /// aStartedAt: from when on origins are added.
  ContentOriginTable(const Settings& aSettings, TimePoint aStartedAt)
    : mSettings(aSettings)
    , mCompleteSince(aStartedAt)
  {
  }

  /// Adds an origin, or lets it be kept for longer.
  void Add(const std::string& aKey,
           const StreamOrigin& aOrigin,
           TimePoint aNow);

  ContentOrigins Find(const std::string& aKey, TimePoint aNow);

  /// Called when this VM may not have been sent an origin that it is to keep.
  void OnMissed(TimePoint aNow) { mCompleteSince = aNow; }

  /// Returns the keys to which an origin was added at aSince or later.
  std::set<std::string> KeysSince(TimePoint aSince) const;

  std::size_t Size() const { return mOrigins.size(); }

private:
  struct Kept
  {
    StreamOrigin mOrigin;
    TimePoint mAt; ///< Last addition.
  };

  struct Added
  {
    TimePoint mAt;
    std::string mKey;
  };

  void RemoveOld(TimePoint aNow);
  void RemoveOldest();

  Settings mSettings;
  TimePoint mCompleteSince;
  std::unordered_map<std::string, std::vector<Kept>> mOrigins;
  std::deque<Added> mByAge; ///< Oldest first; one entry for each addition.
};

} // namespace peridothoist
