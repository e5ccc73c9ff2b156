/// Tests which requests are refused while unsent responses occupy the memory.
#define BOOST_TEST_MODULE BufferBudget
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/BufferBudget.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

// Load: callers that read slowly. Guards against urgent requests that are
// refused before less urgent ones, and against a bound that nothing keeps.
BOOST_AUTO_TEST_CASE(TheLeastUrgentAreRefusedFirst)
{
  const BufferBudget budget(1000);
  for (std::uint32_t priority = 0; priority < 20; ++priority) {
    BOOST_TEST(budget.MayStart(priority, 499));
    BOOST_TEST(!budget.MayStart(priority, 1000));
    for (std::size_t bytes = 0; bytes <= 1000; bytes += 50) {
      const bool isOrdered = budget.MayStart(priority, bytes) ||
                             !budget.MayStart(priority + 1, bytes);
      BOOST_TEST(isOrdered);
    }
  }
  BOOST_TEST(budget.MayStart(0, 999));
  BOOST_TEST(!budget.MayStart(9, 500));
}

BOOST_AUTO_TEST_CASE(ABoundOfZeroIsNone)
{
  BOOST_TEST(BufferBudget(0).MayStart(9, std::size_t(1) << 40));
}
