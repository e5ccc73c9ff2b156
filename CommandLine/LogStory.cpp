#include <Peridothoist/Peridothoist.h>
#include <CommandLine/LogStory.h>

#include <algorithm>
#include <ctime>
#include <istream>
#include <set>

namespace peridothoist {

namespace {

/// What a VM learned so long before a request came may have mattered to it.
constexpr double kSecondsBefore = 10;

/// Events by which a VM says what it believes.
const std::set<std::string> kBeliefs = {
  "configuration_in_force", "serving",       "store_lost", "store_regained",
  "following_peers",        "reading_store", "leaving",    "loop_lag",
  "settings_reloaded",      "node_started"
};

/// "2026-08-11T13:20:01.054941Z" as seconds of the day's epoch.
std::optional<double>
SecondsOf(const std::string& aTime)
{
  std::tm time = {};
  const char* rest = ::strptime(aTime.c_str(), "%Y-%m-%dT%H:%M:%S", &time);
  if (rest == nullptr) {
    return std::nullopt;
  }
  const double fraction = *rest == '.' ? std::strtod(rest, nullptr) : 0;
  return static_cast<double>(::timegm(&time)) + fraction;
}

/// Reads one value, quoted or not, and moves aText past it.
std::string
TakeValue(std::string_view& aText)
{
  std::string value;
  if (aText.empty() || aText.front() != '"') {
    const std::size_t end = std::min(aText.find(' '), aText.size());
    value = aText.substr(0, end);
    aText.remove_prefix(end);
    return value;
  }
  std::size_t at = 1;
  while (at < aText.size() && aText[at] != '"') {
    at += aText[at] == '\\' ? 1 : 0;
    if (at < aText.size()) {
      value += aText[at++];
    }
  }
  aText.remove_prefix(std::min(at + 1, aText.size()));
  return value;
}

/// Whether a line speaks of a request by its number at its VM.
bool
IsOfRequest(const LogRecord& aRecord,
            const std::string& aVm,
            const std::string& aNumber)
{
  return !aNumber.empty() && aRecord.Get("vm") == aVm &&
         aRecord.Get("request") == aNumber;
}

/// One try at the request: where and when.
struct Try
{
  std::string mVm;
  std::string mNumber; ///< Empty: it was refused on arrival.
  double mFrom = 0;
  double mTo = 0;
};

std::vector<Try>
TriesOf(const std::vector<LogRecord>& aRecords, const std::string& aId)
{
  std::vector<Try> tries;
  for (const LogRecord& it : aRecords) {
    if (it.Get("id") == aId) {
      const double took = std::strtod(it.Get("ms").c_str(), nullptr) / 1000;
      tries.push_back(
        { it.Get("vm"), it.Get("request"), it.mSeconds - took, it.mSeconds });
    }
  }
  return tries;
}

/// The upstreams that a try met.
std::set<std::string>
UpstreamsOf(const std::vector<LogRecord>& aRecords, const Try& aTry)
{
  std::set<std::string> upstreams;
  for (const LogRecord& it : aRecords) {
    const bool during = it.mSeconds >= aTry.mFrom && it.mSeconds <= aTry.mTo;
    if (during && IsOfRequest(it, aTry.mVm, aTry.mNumber)) {
      upstreams.insert(it.Get("upstream"));
    }
  }
  upstreams.erase("");
  return upstreams;
}

} // namespace

std::string
LogRecord::Get(const std::string& aName) const
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
    record.mFields[name] = TakeValue(text);
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  }
  const auto seconds = SecondsOf(record.Get("ts"));
  const std::size_t event = aLine.find("event=", start);
  if (!seconds || event == std::string::npos) {
    return std::nullopt;
  }
  record.mSeconds = *seconds;
  record.mText = aLine.substr(event);
  return record;
}

std::vector<StoryLine>
TellStory(const std::vector<LogRecord>& aRecords, const std::string& aId)
{
  std::vector<const LogRecord*> told;
  const std::vector<Try> tries = TriesOf(aRecords, aId);
  for (const Try& attempt : tries) {
    const std::set<std::string> upstreams = UpstreamsOf(aRecords, attempt);
    for (const LogRecord& it : aRecords) {
      const bool here = it.Get("vm") == attempt.mVm;
      const bool recent = it.mSeconds >= attempt.mFrom - kSecondsBefore &&
                          it.mSeconds <= attempt.mTo;
      const bool during = it.mSeconds >= attempt.mFrom && recent;
      const bool own =
        it.Get("id") == aId ||
        (during && IsOfRequest(it, attempt.mVm, attempt.mNumber));
      const bool belief = here && recent &&
                          (kBeliefs.count(it.Get("event")) > 0 ||
                           (it.Get("request").empty() &&
                            upstreams.count(it.Get("upstream")) > 0));
      if (own || belief) {
        told.push_back(&it);
      }
    }
  }
  std::stable_sort(told.begin(), told.end(), [](const auto* aOne, auto* aTwo) {
    return aOne->mSeconds < aTwo->mSeconds;
  });
  told.erase(std::unique(told.begin(), told.end()), told.end());
  std::vector<StoryLine> story;
  story.reserve(told.size());
  for (const LogRecord* it : told) {
    story.push_back(
      { it->mSeconds - tries.front().mFrom, it->Get("vm"), it->mText });
  }
  return story;
}

std::vector<LogRecord>
ReadLogs(std::istream& aStream)
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
