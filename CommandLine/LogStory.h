/// Tells from the log lines of several VMs what became of one request, and
/// what the VM believed meanwhile.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <iosfwd>

namespace peridothoist {

/// One log line, taken apart.
struct LogRecord
{
  double mSeconds = 0; ///< Time of day of the VM's clock, in seconds.
  std::string mText;   ///< From the event on.
  std::map<std::string, std::string> mFields;

  /// A field's value; empty when it is missing.
  std::string Get(const std::string& aName) const;
};

/// Takes a line apart; whatever stands before "ts=" is passed over. Nothing
/// when it is no log line.
std::optional<LogRecord>
ParseLogLine(const std::string& aLine);

/// One line of a story.
struct StoryLine
{
  double mAfter = 0; ///< Seconds after the request came; below 0: before.
  std::string mVm;
  std::string mText;
};

/// The lines about the request that its caller named aId, and those that say
/// what its VM learned of the configuration, the store and the upstreams that
/// the request met, in order of time. Empty when the request isn't found.
std::vector<StoryLine>
TellStory(const std::vector<LogRecord>& aRecords, const std::string& aId);

/// Reads all log lines of a stream.
std::vector<LogRecord>
ReadLogs(std::istream& aStream);

} // namespace peridothoist
