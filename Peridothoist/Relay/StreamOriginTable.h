/// Remembers which service and software version began each stream, so that a
/// stream that a caller resumes continues at that version only.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <deque>
#include <unordered_map>

namespace peridothoist {

/// Where a stream began. What upstreams of two software versions generate must
/// not be joined in one stream.
struct StreamOrigin
{
  std::string mService;
  std::string mSoftwareVersion; ///< As the upstream's entry states it.

  bool operator==(const StreamOrigin& aOther) const
  {
    return mService == aOther.mService &&
           mSoftwareVersion == aOther.mSoftwareVersion;
  }
};

/// Returns the key of the origin of a stream that an attempt has begun.
inline std::string
OriginKeyOf(const std::string& aWorkspace, const std::string& aAttempt)
{
  return aWorkspace + '/' + aAttempt;
}

/// Settings of StreamOriginTable.
struct StreamOriginTableSettings
{
  /// Origins are forgotten after this; longer than callers resume a stream.
  Duration mRetention = 60s;
  std::size_t mMaxOrigins = 100000; ///< The oldest are forgotten above this.
};

/// Holds the origins of recent streams. A key is the caller's id of the attempt
/// that received the stream's first event.
class StreamOriginTable
{
public:
  using Settings = StreamOriginTableSettings;

  explicit StreamOriginTable(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds an origin. An origin that is already known for the key is kept.
  void Add(const std::string& aKey, StreamOrigin aOrigin, TimePoint aNow);

  /// Returns null if the origin is not known.
  const StreamOrigin* Find(const std::string& aKey, TimePoint aNow);

  /// Returns the keys that were added at aSince or later.
  std::vector<std::string> KeysSince(TimePoint aSince) const;

  std::size_t Size() const { return mOrigins.size(); }

private:
  struct Added
  {
    TimePoint mAt;
    std::string mKey;
  };

  void RemoveOld(TimePoint aNow);

  Settings mSettings;
  std::unordered_map<std::string, StreamOrigin> mOrigins;
  std::deque<Added> mByAge; ///< Oldest first; one entry for each origin.
};

} // namespace peridothoist
