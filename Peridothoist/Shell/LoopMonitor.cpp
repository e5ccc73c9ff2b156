/// Measures the lag of the event loop.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/LoopMonitor.h>

#include <algorithm>

namespace peridothoist {

LoopMonitor::LoopMonitor(const Settings& aSettings,
                         Reactor* aReactor,
                         LoopMonitorListener* aListener)
  : mSettings(aSettings)
  , mReactor(aReactor)
  , mListener(aListener)
{
  ScheduleMeasurement();
}

LoopMonitor::~LoopMonitor()
{
  mReactor->CancelTimer(mTimer);
}

void
LoopMonitor::ScheduleMeasurement()
{
  mDueAt = Reactor::ReadClock() + mSettings.mInterval;
  mTimer = mReactor->Schedule(mSettings.mInterval, [this] {
    const Duration lag = Reactor::ReadClock() - mDueAt;
    mListener->OnLoopLag(std::max(Duration::zero(), lag));
    ScheduleMeasurement();
  });
}

} // namespace peridothoist
