/// Tests the table service stand-in: transactions are atomic, a row's version
/// is the revision of its last write, and ranges are read in pages.
#define BOOST_TEST_MODULE TableStore
#include <Peridothoist/Peridothoist.h>
#include <StandIns/TableStore.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist::standin;

RC_BOOST_PROP(TransactionsWithStaleConditionsAreRejected, ())
{
  TableStore store;
  std::map<std::string, std::uint64_t> versions;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
    rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
  for (const auto& [row, isCurrent] : steps) {
    const std::string key = "k" + std::to_string(row);
    const std::uint64_t expected = versions[key] + (isCurrent ? 0 : 1);
    const std::uint64_t before = store.Revision();
    const TransactionResult result =
      store.Apply({ { { key, expected } }, { { key, "v" }, { "all", "v" } } });
    RC_ASSERT(result.mCommitted == isCurrent);
    RC_ASSERT(store.Revision() == before + (isCurrent ? 1 : 0));
    if (isCurrent) {
      versions[key] = result.mRevision;
    } else {
      RC_ASSERT(result.mConflictVersion == versions[key]);
    }
  }
}

BOOST_AUTO_TEST_CASE(RangeReadsAreOrderedAndPaged)
{
  TableStore store;
  store.Apply({ {}, { { "b", "2" }, { "a", "1" }, { "c", "3" } } });
  store.Apply({ {}, { { "a", std::nullopt } } });
  const RowPage page = store.Read("a", "c", 10);
  BOOST_TEST(page.mRows.size() == 1);
  BOOST_TEST(page.mRows[0].mKey == "b");
  BOOST_TEST(page.mRows[0].mVersion == 1);
  BOOST_TEST(page.mRevision == 2);
  BOOST_TEST(!page.mHasMore);
  BOOST_TEST(store.Read("a", "z", 1).mHasMore);
}
