/// Logging with spdlog. Each event is one line of key=value pairs.
///
///     Log::Info("request_done").Field("id", id).Field("ms", ms);
///
/// writes "ts=... level=info event=request_done id=... ms=...". Values with
/// spaces, quotes or control bytes are quoted and escaped, so that each event
/// is exactly one line. Lines go to standard error or standard output through a
/// bounded queue. When the output is too slow, the oldest queued lines are
/// overwritten, so logging never blocks the reactor. A limit on lines per
/// second drops routine lines first. Dropped and overwritten lines are counted
/// and reported in a log line.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogRateLimiter.h>

#include <type_traits>

namespace peridothoist {

/// Severity of an event.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
  Off ///< Only a setting: no lines are written.
};

/// Returns the name of a level.
const char*
ToName(LogLevel aLevel);
/// Returns the level of a name, or nullopt when there is none.
std::optional<LogLevel>
LogLevelFromName(std::string_view aName);

/// A log line under construction. The destructor writes it.
class LogLine
{
public:
  /// Starts a line. When aIsEnabled is false, the line ignores its fields and
  /// is not written.
  LogLine(LogLevel aLevel, std::string_view aEvent, bool aIsEnabled);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a text field.
  LogLine& Field(std::string_view aKey, std::string_view aValue);
  LogLine& Field(std::string_view aKey, const char* aValue)
  {
    return Field(aKey, std::string_view(aValue));
  }
  LogLine& Field(std::string_view aKey, const std::string& aValue)
  {
    return Field(aKey, std::string_view(aValue));
  }

  /// Adds a number or a boolean.
  template<typename T, std::enable_if_t<std::is_arithmetic_v<T>, int> = 0>
  LogLine& Field(std::string_view aKey, T aValue)
  {
    if constexpr (std::is_same_v<T, bool>) {
      return Field(aKey, std::string_view(aValue ? "true" : "false"));
    } else if constexpr (std::is_floating_point_v<T>) {
      return AddReal(aKey, static_cast<double>(aValue));
    } else {
      return Field(aKey, std::string_view(std::to_string(aValue)));
    }
  }

private:
  LogLine& AddReal(std::string_view aKey, double aValue);

  LogLevel mLevel;
  bool mIsEnabled;
  std::string mText;
};

/// Numbers of lines that were not written.
struct DroppedLogLines
{
  std::uint64_t mRoutine = 0;   ///< Routine lines dropped by the limit.
  std::uint64_t mDecisions = 0; ///< Decision lines dropped by the limit.
  std::uint64_t mOverrun = 0;   ///< Overwritten because output was too slow.
};

/// The log of the process.
class Log
{
public:
  struct Settings
  {
    LogLevel mLevel = LogLevel::Info;   ///< Events below it are not logged.
    std::size_t mMaxQueuedLines = 8192; ///< Size of the queue, in lines.
    std::string mVm;                    ///< VM name in each line; may be empty.
    bool mUseStandardOutput = false;    ///< Else standard error.
    LogRateLimiterSettings mRateLimit;  ///< No limit by default.
  };

  /// Configures the log. Must be called before other threads log. Until then,
  /// lines go to standard error without a queue.
  static void Start(const Settings& aSettings);

  /// Writes the queued lines and returns to the state before Start().
  static void Stop();

  /// Returns whether events of a level are logged.
  static bool IsEnabled(LogLevel aLevel);

  /// Returns the numbers of lines not written since Start().
  static DroppedLogLines DroppedLines();

  /// Logs the numbers of lines that were not written since the previous report,
  /// if there were any.
  static void ReportDroppedLines();

  static LogLine Debug(std::string_view aEvent)
  {
    return Line(LogLevel::Debug, LogPriority::Routine, aEvent);
  }
  /// Starts a line about a frequent, successful event; such lines are dropped
  /// first.
  static LogLine Routine(std::string_view aEvent)
  {
    return Line(LogLevel::Info, LogPriority::Routine, aEvent);
  }
  static LogLine Info(std::string_view aEvent)
  {
    return Line(LogLevel::Info, LogPriority::Decision, aEvent);
  }
  static LogLine Warning(std::string_view aEvent)
  {
    return Line(LogLevel::Warning, LogPriority::Fault, aEvent);
  }
  static LogLine Error(std::string_view aEvent)
  {
    return Line(LogLevel::Error, LogPriority::Fault, aEvent);
  }

private:
  static LogLine Line(LogLevel aLevel,
                      LogPriority aPriority,
                      std::string_view aEvent);
};

/// Returns a value in the form of a log line, quoted and escaped if necessary.
std::string
QuoteForLog(std::string_view aValue);

} // namespace peridothoist
