#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LogBudget.h>

#include <algorithm>

namespace peridothoist {

bool
LogBudget::Take(LogWorth aWorth, TimePoint aNow)
{
  const double most = mSettings.mLinesPerSecond;
  if (most <= 0) {
    return true;
  }
  const double passed = std::chrono::duration<double>(aNow - mAt).count();
  mLines = std::min(most, mLines + most * std::max(0.0, passed));
  mAt = aNow;
  const bool routine = aWorth == LogWorth::Routine;
  const double kept = routine ? most * mSettings.mKeptForDecisions : 0;
  const bool may = aWorth == LogWorth::Fault || mLines >= kept + 1;
  if (may) {
    mLines = std::max(0.0, mLines - 1);
  } else {
    ++mLeftOut[static_cast<std::size_t>(aWorth)];
  }
  return may;
}

} // namespace peridothoist
