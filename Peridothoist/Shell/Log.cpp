/// Logging with spdlog. Each event is one line of key=value pairs.
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

/// The UTC time in microseconds, followed by the line that LogLine built.
constexpr const char* kPattern = "ts=%Y-%m-%dT%H:%M:%S.%fZ %v";

std::atomic<LogLevel>&
CurrentLevel()
{
  static std::atomic<LogLevel> level{ LogLevel::Info };
  return level;
}

/// Sets the pattern of a logger, and its level so that it filters nothing.
std::shared_ptr<spdlog::logger>
ConfigureLogger(std::shared_ptr<spdlog::logger> aLogger)
{
  aLogger->set_level(spdlog::level::trace);
  aLogger->set_pattern(kPattern, spdlog::pattern_time_type::utc);
  return aLogger;
}

/// Creates a logger that writes to standard error without a queue.
std::shared_ptr<spdlog::logger>
MakeDirectLogger()
{
  return ConfigureLogger(std::make_shared<spdlog::logger>(
    "direct", std::make_shared<spdlog::sinks::stderr_sink_mt>()));
}

/// The logger in use, with its thread pool.
struct LogOutput
{
  /// Null while lines are written without a queue.
  std::shared_ptr<spdlog::details::thread_pool> mPool;
  std::shared_ptr<spdlog::logger> mLogger = MakeDirectLogger();
  std::string mVm; ///< From Log::Settings.
};

LogOutput&
CurrentOutput()
{
  static LogOutput output;
  return output;
}

/// The rate limiter that all threads share.
struct LimiterState
{
  std::mutex mMutex;
  LogRateLimiter mLimiter{ LogRateLimiterSettings() };
  DroppedLogLines mLastReported; ///< Counts at the last report.
};

LimiterState&
SharedLimiterState()
{
  static LimiterState state;
  return state;
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

LogLine::LogLine(LogLevel aLevel, std::string_view aEvent, bool aIsEnabled)
  : mLevel(aLevel)
  , mIsEnabled(aIsEnabled)
{
  if (mIsEnabled) {
    mText = fmt::format("level={}", ToName(aLevel));
    if (!CurrentOutput().mVm.empty()) {
      Field("vm", CurrentOutput().mVm);
    }
    Field("event", aEvent);
  }
}

LogLine::~LogLine()
{
  if (mIsEnabled) {
    // The text is an argument and not the format, because it may contain
    // braces.
    CurrentOutput().mLogger->log(
      mLevel == LogLevel::Error ? spdlog::level::err : spdlog::level::info,
      spdlog::string_view_t(mText));
  }
}

LogLine&
LogLine::Field(std::string_view aKey, std::string_view aValue)
{
  if (mIsEnabled) {
    mText += fmt::format(" {}={}", aKey, QuoteForLog(aValue));
  }
  return *this;
}

LogLine&
LogLine::AddReal(std::string_view aKey, double aValue)
{
  if (mIsEnabled) {
    mText += fmt::format(" {}={:.6g}", aKey, aValue);
  }
  return *this;
}

void
Log::Start(const Settings& aSettings)
{
  CurrentLevel() = aSettings.mLevel;
  LogOutput output;
  output.mVm = aSettings.mVm;
  output.mPool = std::make_shared<spdlog::details::thread_pool>(
    aSettings.mMaxQueuedLines, 1);
  std::shared_ptr<spdlog::sinks::sink> stream =
    std::make_shared<spdlog::sinks::stderr_sink_mt>();
  if (aSettings.mUseStandardOutput) {
    stream = std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  output.mLogger = ConfigureLogger(std::make_shared<spdlog::async_logger>(
    "queued",
    std::move(stream),
    output.mPool,
    spdlog::async_overflow_policy::overrun_oldest));
  CurrentOutput() = std::move(output);
  LimiterState& state = SharedLimiterState();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  state.mLimiter = LogRateLimiter(aSettings.mRateLimit);
  state.mLastReported = DroppedLogLines();
}

void
Log::Stop()
{
  CurrentLevel() = LogLevel::Info;
  CurrentOutput() = LogOutput(); // The old pool's destructor writes its queue.
  LimiterState& state = SharedLimiterState();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  state.mLimiter = LogRateLimiter(LogRateLimiterSettings());
}

bool
Log::IsEnabled(LogLevel aLevel)
{
  return aLevel >= CurrentLevel().load(std::memory_order_relaxed);
}

LogLine
Log::Line(LogLevel aLevel, LogPriority aPriority, std::string_view aEvent)
{
  if (!IsEnabled(aLevel)) {
    return { aLevel, aEvent, false };
  }
  LimiterState& state = SharedLimiterState();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  return { aLevel,
           aEvent,
           state.mLimiter.TryTake(aPriority, Reactor::ReadClock()) };
}

DroppedLogLines
Log::DroppedLines()
{
  DroppedLogLines dropped;
  const LogOutput& output = CurrentOutput();
  dropped.mOverrun = output.mPool ? output.mPool->overrun_counter() : 0;
  LimiterState& state = SharedLimiterState();
  const std::lock_guard<std::mutex> lock(state.mMutex);
  dropped.mRoutine = state.mLimiter.DroppedCount(LogPriority::Routine);
  dropped.mDecisions = state.mLimiter.DroppedCount(LogPriority::Decision);
  return dropped;
}

void
Log::ReportDroppedLines()
{
  const DroppedLogLines current = DroppedLines();
  DroppedLogLines previous;
  {
    LimiterState& state = SharedLimiterState();
    const std::lock_guard<std::mutex> lock(state.mMutex);
    previous = std::exchange(state.mLastReported, current);
  }
  const bool isUnchanged = current.mRoutine == previous.mRoutine &&
                           current.mDecisions == previous.mDecisions &&
                           current.mOverrun == previous.mOverrun;
  if (!isUnchanged) {
    Warning("log_lines_lost")
      .Field("routine", current.mRoutine - previous.mRoutine)
      .Field("decisions", current.mDecisions - previous.mDecisions)
      .Field("overrun", current.mOverrun - previous.mOverrun);
  }
}

} // namespace peridothoist
