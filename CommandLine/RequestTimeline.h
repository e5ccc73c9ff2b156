/// Extracts the timeline of one request from the log lines of several VMs: its
/// events and the state changes of the VMs that served it.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <iosfwd>

namespace peridothoist {

/// One parsed log line.
struct LogRecord
{
  double mSeconds = 0; ///< Unix time in seconds, by the VM's clock.
  std::string mText;   ///< The line from "event=" on.
  std::map<std::string, std::string> mFields;

  /// Returns the value of a field; empty if it is missing.
  std::string GetField(const std::string& aName) const;
};

/// Parses a log line, ignoring any text before "ts=". Returns nullopt if it is
/// not a log line.
std::optional<LogRecord>
ParseLogLine(const std::string& aLine);

/// One entry of a request's timeline.
struct TimelineEntry
{
  double mSecondsAfterArrival = 0; ///< Negative: before it.
  std::string mVm;
  std::string mText;
};

/// Returns, in order of time, the log lines of the request whose caller-given
/// id is aId, and the lines in which the VMs that handled it logged changes of
/// their own state (such as of the configuration or the store) or of the
/// upstreams that the request used. Changes shortly before the request's
/// arrival are included. Returns an empty list if the request isn't found.
std::vector<TimelineEntry>
BuildTimeline(const std::vector<LogRecord>& aRecords, const std::string& aId);

/// Reads all log lines of a stream; skips other lines.
std::vector<LogRecord>
ReadLogRecords(std::istream& aStream);

} // namespace peridothoist
