/// Logs: one line of key=value pairs for each event, over spdlog.
///
///     Log::Info("request_done").Field("id", id).Field("ms", ms);
///
/// writes "ts=... level=info event=request_done id=... ms=...". Values with
/// spaces, quotes or control bytes are quoted and escaped, so that one event
/// is always one line. Lines go to standard error, or output, through a bounded
/// queue: a slow sink loses the oldest lines, and never holds up the reactor.
/// A bound on lines a second leaves out those on what went well first. Lines
/// that were lost or left out are counted, and a line says so.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogBudget.h>

#include <type_traits>

namespace peridothoist {

/// How much an event matters.
enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
  Off ///< As a setting: write nothing.
};

/// The name of a level, and back.
const char*
ToName(LogLevel aLevel);
std::optional<LogLevel>
LogLevelFromName(std::string_view aName);

/// One event while its fields are gathered; written when it goes.
class LogLine
{
public:
  /// Starts a line; aOn false makes one that drops everything.
  LogLine(LogLevel aLevel, std::string_view aEvent, bool aOn);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  /// Adds a text.
  LogLine& Field(std::string_view aKey, std::string_view aValue);
  LogLine& Field(std::string_view aKey, const char* aValue)
  {
    return Field(aKey, std::string_view(aValue));
  }
  LogLine& Field(std::string_view aKey, const std::string& aValue)
  {
    return Field(aKey, std::string_view(aValue));
  }

  /// Adds a number or a truth value.
  template<typename T, std::enable_if_t<std::is_arithmetic_v<T>, int> = 0>
  LogLine& Field(std::string_view aKey, T aValue)
  {
    if constexpr (std::is_same_v<T, bool>) {
      return Field(aKey, std::string_view(aValue ? "true" : "false"));
    } else if constexpr (std::is_floating_point_v<T>) {
      return FieldReal(aKey, static_cast<double>(aValue));
    } else {
      return Field(aKey, std::string_view(std::to_string(aValue)));
    }
  }

private:
  LogLine& FieldReal(std::string_view aKey, double aValue);

  LogLevel mLevel;
  bool mOn;
  std::string mText;
};

/// Lines that nobody will read.
struct LogLosses
{
  std::uint64_t mRoutine = 0;   ///< Left out by the bound.
  std::uint64_t mDecisions = 0; ///< Left out by the bound.
  std::uint64_t mOverrun = 0;   ///< The sink was too slow.
};

/// The process's log.
class Log
{
public:
  struct Settings
  {
    LogLevel mLevel = LogLevel::Info; ///< Events below it are dropped.
    std::size_t mQueuedLines = 8192;  ///< Lines held for a slow sink.
    std::string mVm;                  ///< Stands in each line; empty: none.
    bool mToStandardOutput = false;   ///< Else to standard error.
    LogBudgetSettings mBudget;        ///< No bound by default.
  };

  /// Sets level and sink, before other threads log. Until then, lines go
  /// straight to standard error.
  static void Start(const Settings& aSettings);

  /// Writes out what is queued, and goes back to the state before Start().
  static void Stop();

  static bool IsOn(LogLevel aLevel);

  /// Lines lost or left out since Start().
  static LogLosses Losses();

  /// Writes a line on losses when there were more since the last one.
  static void TellLosses();

  static LogLine Debug(std::string_view aEvent)
  {
    return Line(LogLevel::Debug, LogWorth::Routine, aEvent);
  }
  /// What went well, as most does.
  static LogLine Routine(std::string_view aEvent)
  {
    return Line(LogLevel::Info, LogWorth::Routine, aEvent);
  }
  static LogLine Info(std::string_view aEvent)
  {
    return Line(LogLevel::Info, LogWorth::Decision, aEvent);
  }
  static LogLine Warning(std::string_view aEvent)
  {
    return Line(LogLevel::Warning, LogWorth::Fault, aEvent);
  }
  static LogLine Error(std::string_view aEvent)
  {
    return Line(LogLevel::Error, LogWorth::Fault, aEvent);
  }

private:
  static LogLine Line(LogLevel aLevel,
                      LogWorth aWorth,
                      std::string_view aEvent);
};

/// A value as a log line carries it: quoted when it needs to be.
std::string
QuoteForLog(std::string_view aValue);

} // namespace peridothoist
