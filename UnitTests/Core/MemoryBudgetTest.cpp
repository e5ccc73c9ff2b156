/// Tests the budget of the memory that a process holds for others, and the
/// buffers that draw from it.
#define BOOST_TEST_MODULE MemoryBudget
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/BoundedBuffer.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;

// Guards against new work that takes the memory which the responses to earlier
// work need, and against large requests that crowd out small ones.
BOOST_AUTO_TEST_CASE(NewWorkIsRefusedBeforeResponses)
{
  MemoryBudget budget(1000);
  for (std::size_t used = 0; used <= 1000; used += 10) {
    for (std::size_t use = 1; use < kMemoryUses; ++use) {
      const bool isOrdered =
        budget.HasRoom(static_cast<MemoryUse>(use), 1) ||
        !budget.HasRoom(static_cast<MemoryUse>(use - 1), 1);
      BOOST_TEST(isOrdered);
    }
    budget.Draw(10);
  }
  BOOST_TEST(!budget.HasRoom(MemoryUse::Response, 1));
  BOOST_TEST(budget.PeakBytes() == 1010);
}

BOOST_AUTO_TEST_CASE(ABoundOfZeroIsNone)
{
  MemoryBudget budget(0);
  BOOST_TEST(budget.TryDraw(MemoryUse::LargeRequest, std::size_t(1) << 40));
}

// Guards against memory that is never given back, or given back twice.
RC_BOOST_PROP(ChargesAddUpToWhatIsUsed, ())
{
  const auto budget = std::make_shared<MemoryBudget>(10'000);
  {
    std::vector<MemoryCharge> charges;
    for (int n = 0; n < 5; ++n) {
      charges.emplace_back(budget);
    }
    const auto count = *rc::gen::inRange(0, 50);
    for (int n = 0; n < count; ++n) {
      const auto i = *rc::gen::inRange<std::size_t>(0, charges.size());
      const auto bytes = *rc::gen::inRange<std::size_t>(0, 4000);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          charges[i].Set(bytes);
          break;
        case 1:
          charges[i].TryGrow(MemoryUse::Request, bytes);
          break;
        case 2:
          charges[i] = MemoryCharge(budget);
          break;
        default: {
          MemoryCharge moved = std::move(charges[i]);
          charges[i] = std::move(moved);
        }
      }
      std::size_t sum = 0;
      for (const MemoryCharge& it : charges) {
        sum += it.Bytes();
      }
      RC_ASSERT(sum == budget->UsedBytes());
    }
  }
  RC_ASSERT(budget->UsedBytes() == 0U);
}

// Guards against a buffer that holds more than it has drawn, or more than its
// limit.
RC_BOOST_PROP(ABufferHoldsNoMoreThanItDraws, ())
{
  const auto budget =
    std::make_shared<MemoryBudget>(*rc::gen::inRange<std::size_t>(1, 100'000));
  const auto limit = *rc::gen::inRange<std::size_t>(1, 50'000);
  std::string expected;
  {
    BoundedBuffer buffer(budget, limit, kResponseBuffer);
    bool isOpen = true;
    while (isOpen && *rc::gen::inRange(0, 20) > 0) {
      const std::string part(*rc::gen::inRange<std::size_t>(0, 9000), 'x');
      isOpen = buffer.Append(part);
      expected += isOpen ? part : "";
      RC_ASSERT(!isOpen || budget->UsedBytes() + 16 > expected.size());
      RC_ASSERT(budget->UsedBytes() <= budget->MaxBytes() + 16);
      RC_ASSERT(expected.size() <= limit);
    }
    RC_ASSERT(isOpen == (buffer.Error() == BufferError::None));
    RC_ASSERT(isOpen || budget->UsedBytes() == 0U);
    RC_ASSERT(!isOpen || buffer.Take() == expected);
  }
  RC_ASSERT(budget->UsedBytes() == 0U);
}
