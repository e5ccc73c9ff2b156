/// Logs: one line of key=value pairs for each event, over spdlog.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Log.h>

#include <Peridothoist/Shell/Reactor.h>

#include <fmt/format.h>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>

namespace peridothoist {

namespace {

/// UTC with microseconds, then the line as LogLine built it.
constexpr const char* kPattern = "ts=%Y-%m-%dT%H:%M:%S.%fZ %v";

std::atomic<LogLevel>&
CurrentLevel()
{
  static std::atomic<LogLevel> level{ LogLevel::Info };
  return level;
}

std::shared_ptr<spdlog::logger>
WithPattern(std::shared_ptr<spdlog::logger> aLogger)
{
  aLogger->set_level(spdlog::level::trace);
  aLogger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  return aLogger;
}

/// Writes straight to standard error.
std::shared_ptr<spdlog::logger>
DirectLogger()
{
  return WithPattern(std::make_shared<spdlog::logger>(
    "direct", std::make_shared<spdlog::sinks::stderr_sink_mt>()));
}

/// The thread pool and the logger that uses it.
struct Sink
{
  std::shared_ptr<spdlog::details::thread_pool> mPool; ///< Null: direct.
  std::shared_ptr<spdlog::logger> mLogger = DirectLogger();
  std::string mVm; ///< Of Log::Settings.
};

Sink&
CurrentSink()
{
  static Sink sink;
  return sink;
}

/// The bound, for all threads.
struct Bound
{
  std::mutex mMutex;
  LogBudget mBudget{ LogBudgetSettings() };
  LogLosses mTold; ///< As of the last line on them.
};

Bound&
CurrentBound()
{
  static Bound bound;
  return bound;
}

bool
NeedsQuotes(std::string_view aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](unsigned char aByte) {
           return aByte <= ' ' || aByte == '"' || aByte == '=' ||
                  aByte == '\\' || aByte == 0x7f;
         });
}

} // namespace

const char*
ToName(LogLevel aLevel)
{
  static constexpr std::array<const char*, 5> kNames = {
    "debug", "info", "warning", "error", "off"
  };
  return kNames[static_cast<std::size_t>(aLevel)];
}

std::optional<LogLevel>
LogLevelFromName(std::string_view aName)
{
  for (int i = 0; i <= static_cast<int>(LogLevel::Off); ++i) {
    const auto level = static_cast<LogLevel>(i);
    if (aName == ToName(level)) {
      return level;
    }
  }
  return std::nullopt;
}

std::string
QuoteForLog(std::string_view aValue)
{
  if (!NeedsQuotes(aValue)) {
    return std::string(aValue);
  }
  std::string quoted = "\"";
  for (const char c : aValue) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (c == '\n') {
      quoted += "\\n";
    } else if (byte < ' ' || byte == 0x7f) {
      quoted += fmt::format("\\x{:02x}", byte);
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent, bool aOn)
  : mLevel(aLevel)
  , mOn(aOn)
{
  if (mOn) {
    mText = fmt::format("level={}", ToName(aLevel));
    if (!CurrentSink().mVm.empty()) {
      Field("vm", CurrentSink().mVm);
    }
    Field("event", aEvent);
  }
}

LogLine::~LogLine()
{
  if (mOn) {
    // The text is an argument, not a format: it may hold braces.
    CurrentSink().mLogger->log(mLevel == LogLevel::Error ? spdlog::level::err
                                                         : spdlog::level::info,
                               spdlog::string_view_t(mText));
  }
}

LogLine&
LogLine::Field(std::string_view aKey, std::string_view aValue)
{
  if (mOn) {
    mText += fmt::format(" {}={}", aKey, QuoteForLog(aValue));
  }
  return *this;
}

LogLine&
LogLine::FieldReal(std::string_view aKey, double aValue)
{
  if (mOn) {
    mText += fmt::format(" {}={:.6g}", aKey, aValue);
  }
  return *this;
}

void
Log::Start(const Settings& aSettings)
{
  CurrentLevel() = aSettings.mLevel;
  Sink sink;
  sink.mVm = aSettings.mVm;
  sink.mPool =
    std::make_shared<spdlog::details::thread_pool>(aSettings.mQueuedLines, 1);
  std::shared_ptr<spdlog::sinks::sink> stream =
    std::make_shared<spdlog::sinks::stderr_sink_mt>();
  if (aSettings.mToStandardOutput) {
    stream = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  sink.mLogger = WithPattern(std::make_shared<spdlog::async_logger>(
    "queued",
    std::move(stream),
    sink.mPool,
    spdlog::async_overflow_policy::overrun_oldest));
  CurrentSink() = std::move(sink);
  Bound& bound = CurrentBound();
  const std::lock_guard<std::mutex> lock(bound.mMutex);
  bound.mBudget = LogBudget(aSettings.mBudget);
  bound.mTold = LogLosses();
}

void
Log::Stop()
{
  CurrentLevel() = LogLevel::Info;
  CurrentSink() = Sink(); // The pool writes out its queue as it goes.
  Bound& bound = CurrentBound();
  const std::lock_guard<std::mutex> lock(bound.mMutex);
  bound.mBudget = LogBudget(LogBudgetSettings());
}

bool
Log::IsOn(LogLevel aLevel)
{
  return aLevel >= CurrentLevel().load(std::memory_order_relaxed);
}

LogLine
Log::Line(LogLevel aLevel, LogWorth aWorth, std::string_view aEvent)
{
  if (!IsOn(aLevel)) {
    return { aLevel, aEvent, false };
  }
  Bound& bound = CurrentBound();
  const std::lock_guard<std::mutex> lock(bound.mMutex);
  return { aLevel, aEvent, bound.mBudget.Take(aWorth, Reactor::ReadClock()) };
}

LogLosses
Log::Losses()
{
  LogLosses losses;
  const Sink& sink = CurrentSink();
  losses.mOverrun = sink.mPool ? sink.mPool->overrun_counter() : 0;
  Bound& bound = CurrentBound();
  const std::lock_guard<std::mutex> lock(bound.mMutex);
  losses.mRoutine = bound.mBudget.LeftOut(LogWorth::Routine);
  losses.mDecisions = bound.mBudget.LeftOut(LogWorth::Decision);
  return losses;
}

void
Log::TellLosses()
{
  const LogLosses now = Losses();
  LogLosses before;
  {
    Bound& bound = CurrentBound();
    const std::lock_guard<std::mutex> lock(bound.mMutex);
    before = std::exchange(bound.mTold, now);
  }
  const bool same = now.mRoutine == before.mRoutine &&
                    now.mDecisions == before.mDecisions &&
                    now.mOverrun == before.mOverrun;
  if (!same) {
    Warning("log_lines_lost")
      .Field("routine", now.mRoutine - before.mRoutine)
      .Field("decisions", now.mDecisions - before.mDecisions)
      .Field("overrun", now.mOverrun - before.mOverrun);
  }
}

} // namespace peridothoist
