/// Bounds how many log lines are written. When a process would write more, the
/// lines on what went well are left out first.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <array>

namespace peridothoist {

/// What a line is about, by how little it would be missed.
enum class LogWorth
{
  Routine,  ///< Something went well: one of many such lines.
  Decision, ///< A refusal, a failure or a change of what is believed.
  Fault     ///< Always written.
};

/// Kinds of LogWorth.
constexpr std::size_t kLogWorths = 3;

/// Settings of a LogBudget.
struct LogBudgetSettings
{
  double mLinesPerSecond = 0; ///< And as many at once; 0: no bound.
  /// Routine lines leave this part of them to the others.
  double mKeptForDecisions = 0.5;
};

/// A token bucket of lines. Belongs to one thread at a time.
class LogBudget
{
public:
  using Settings = LogBudgetSettings;

  explicit LogBudget(const Settings& aSettings)
    : mSettings(aSettings)
    , mLines(aSettings.mLinesPerSecond)
  {
  }

  /// Takes a line; false when it is left out.
  bool Take(LogWorth aWorth, TimePoint aNow);

  /// How many lines were left out since the start.
  std::uint64_t LeftOut(LogWorth aWorth) const
  {
    return mLeftOut[static_cast<std::size_t>(aWorth)];
  }

private:
  Settings mSettings;
  double mLines; ///< That may be written now.
  TimePoint mAt; ///< As of which mLines is.
  std::array<std::uint64_t, kLogWorths> mLeftOut{};
};

} // namespace peridothoist
