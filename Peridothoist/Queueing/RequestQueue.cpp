#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Queueing/RequestQueue.h>
#include <Peridothoist/Queueing/FairQueue.h>
#include <Peridothoist/Queueing/FifoQueue.h>

#include <array>

namespace peridothoist {

namespace {

template<typename Queue>
std::unique_ptr<RequestQueue>
Make()
{
  return std::make_unique<Queue>();
}

/// The name of a strategy and its factory.
struct QueueStrategy
{
  std::string_view mName;
  std::unique_ptr<RequestQueue> (*mMake)();
};

constexpr std::array<QueueStrategy, 2> kStrategies = {
  { { "fair", &Make<FairQueue> }, { "fifo", &Make<FifoQueue> } }
};

} // namespace

std::unique_ptr<RequestQueue>
RequestQueue::Create(std::string_view aStrategy)
{
  for (const QueueStrategy& it : kStrategies) {
    if (it.mName == aStrategy) {
      return it.mMake();
    }
  }
  return nullptr;
}

} // namespace peridothoist
