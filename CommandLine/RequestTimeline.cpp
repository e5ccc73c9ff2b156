/// Extracts the timeline of one request from the log lines of several VMs.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/RequestTimeline.h>

#include <algorithm>
#include <ctime>
#include <istream>
#include <set>

namespace peridothoist {

namespace {

/// State changes up to this time before a request's arrival are included, since
/// they may have affected it.
constexpr double kMaxSecondsBeforeArrival = 10;

/// Events with which a VM logs a change of its own state.
const std::set<std::string> kStateEvents = { "configuration_in_force",
                                             "serving",
                                             "store_lost",
                                             "store_regained",
                                             "following_peers",
                                             "reading_store",
                                             "leaving",
                                             "loop_lag",
                                             "settings_reloaded",
                                             "node_started",
                                             "upstreams_not_reached",
                                             "upstreams_reached",
                                             "zone_evacuated",
                                             "upstream_cold" };

/// Converts a time such as "2026-08-11T13:20:01.054941Z" to Unix time in
/// seconds.
std::optional<double>
ParseTimestamp(const std::string& aTime)
{
  std::tm time = {};
  const char* rest = ::strptime(aTime.c_str(), "%Y-%m-%dT%H:%M:%S", &time);
  if (rest == nullptr) {
    return std::nullopt;
  }
  const double fraction = *rest == '.' ? std::strtod(rest, nullptr) : 0;
  return static_cast<double>(::timegm(&time)) + fraction;
}

/// Parses one value, quoted or not, and removes it from aText.
std::string
ParseValue(std::string_view& aText)
{
  std::string value;
  if (aText.empty() || aText.front() != '"') {
    const std::size_t end = std::min(aText.find(' '), aText.size());
    value = aText.substr(0, end);
    aText.remove_prefix(end);
    return value;
  }
  std::size_t position = 1;
  while (position < aText.size() && aText[position] != '"') {
    position += aText[position] == '\\' ? 1 : 0;
    if (position < aText.size()) {
      value += aText[position++];
    }
  }
  aText.remove_prefix(std::min(position + 1, aText.size()));
  return value;
}

/// Returns whether a line refers to a request by the number that it has at its
/// VM.
bool
IsAboutRequest(const LogRecord& aRecord,
               const std::string& aVm,
               const std::string& aNumber)
{
  return !aNumber.empty() && aRecord.GetField("vm") == aVm &&
         aRecord.GetField("request") == aNumber;
}

/// Where and when one VM handled the request.
struct RequestVisit
{
  std::string mVm;
  std::string mNumber; ///< Request number at the VM; empty: refused on arrival.
  double mStart = 0;
  double mEnd = 0;
};

std::vector<RequestVisit>
FindVisits(const std::vector<LogRecord>& aRecords, const std::string& aId)
{
  std::vector<RequestVisit> visits;
  for (const LogRecord& it : aRecords) {
    if (it.GetField("id") == aId) {
      const double duration =
        std::strtod(it.GetField("ms").c_str(), nullptr) / 1000;
      visits.push_back({ it.GetField("vm"),
                         it.GetField("request"),
                         it.mSeconds - duration,
                         it.mSeconds });
    }
  }
  return visits;
}

/// Returns the upstreams that the request used at one VM.
std::set<std::string>
FindUpstreams(const std::vector<LogRecord>& aRecords,
              const RequestVisit& aVisit)
{
  std::set<std::string> upstreams;
  for (const LogRecord& it : aRecords) {
    const bool isDuring =
      it.mSeconds >= aVisit.mStart && it.mSeconds <= aVisit.mEnd;
    if (isDuring && IsAboutRequest(it, aVisit.mVm, aVisit.mNumber)) {
      upstreams.insert(it.GetField("upstream"));
    }
  }
  upstreams.erase("");
  return upstreams;
}

} // namespace

std::string
LogRecord::GetField(const std::string& aName) const
{
  const auto it = mFields.find(aName);
  return it == mFields.end() ? std::string() : it->second;
}

std::optional<LogRecord>
ParseLogLine(const std::string& aLine)
{
  const std::size_t start = aLine.find("ts=");
  if (start == std::string::npos) {
    return std::nullopt;
  }
  LogRecord record;
  std::string_view text = std::string_view(aLine).substr(start);
  while (!text.empty()) {
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string name(text.substr(0, equals));
    text.remove_prefix(equals + 1);
    record.mFields[name] = ParseValue(text);
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  }
  const auto seconds = ParseTimestamp(record.GetField("ts"));
  const std::size_t event = aLine.find("event=", start);
  if (!seconds || event == std::string::npos) {
    return std::nullopt;
  }
  record.mSeconds = *seconds;
  record.mText = aLine.substr(event);
  return record;
}

std::vector<TimelineEntry>
BuildTimeline(const std::vector<LogRecord>& aRecords, const std::string& aId)
{
  std::vector<const LogRecord*> selected;
  const std::vector<RequestVisit> visits = FindVisits(aRecords, aId);
  for (const RequestVisit& visit : visits) {
    const std::set<std::string> upstreams = FindUpstreams(aRecords, visit);
    for (const LogRecord& it : aRecords) {
      const bool isSameVm = it.GetField("vm") == visit.mVm;
      const bool isRecent =
        it.mSeconds >= visit.mStart - kMaxSecondsBeforeArrival &&
        it.mSeconds <= visit.mEnd;
      const bool isDuring = it.mSeconds >= visit.mStart && isRecent;
      const bool isAboutRequest =
        it.GetField("id") == aId ||
        (isDuring && IsAboutRequest(it, visit.mVm, visit.mNumber));
      const bool isStateChange =
        isSameVm && isRecent &&
        (kStateEvents.count(it.GetField("event")) > 0 ||
         (it.GetField("request").empty() &&
          upstreams.count(it.GetField("upstream")) > 0));
      if (isAboutRequest || isStateChange) {
        selected.push_back(&it);
      }
    }
  }
  std::stable_sort(
    selected.begin(), selected.end(), [](const auto* aLeft, auto* aRight) {
      return aLeft->mSeconds < aRight->mSeconds;
    });
  selected.erase(std::unique(selected.begin(), selected.end()), selected.end());
  std::vector<TimelineEntry> timeline;
  timeline.reserve(selected.size());
  for (const LogRecord* it : selected) {
    timeline.push_back(
      { it->mSeconds - visits.front().mStart, it->GetField("vm"), it->mText });
  }
  return timeline;
}

std::vector<LogRecord>
ReadLogRecords(std::istream& aStream)
{
  std::vector<LogRecord> records;
  std::string line;
  while (std::getline(aStream, line)) {
    if (auto record = ParseLogLine(line)) {
      records.push_back(std::move(*record));
    }
  }
  return records;
}

} // namespace peridothoist
