/// The table service stand-in: transactions are all or nothing, versions are
/// revisions, ranges are read in pages.
#define BOOST_TEST_MODULE TableStore
#include <Peridothoist/Peridothoist.h>
#include <StandIns/TableStore.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist::standin;

RC_BOOST_PROP(OnlyTransactionsWhoseConditionsHoldTakeEffect, ())
{
  TableStore store;
  std::map<std::string, std::uint64_t> versions;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, bool>>>(
    rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::arbitrary<bool>()));
  for (const auto& [row, fresh] : steps) {
    const std::string key = "k" + std::to_string(row);
    const std::uint64_t expected = versions[key] + (fresh ? 0 : 1);
    const std::uint64_t before = store.Revision();
    const TransactionResult result =
      store.Apply({ { { key, expected } }, { { key, "v" }, { "all", "v" } } });
    RC_ASSERT(result.mCommitted == fresh);
    RC_ASSERT(store.Revision() == before + (fresh ? 1 : 0));
    if (fresh) {
      versions[key] = result.mRevision;
    } else {
      RC_ASSERT(result.mConflictVersion == versions[key]);
    }
  }
}

BOOST_AUTO_TEST_CASE(RangesComeInOrderAndInPages)
{
  TableStore store;
  store.Apply({ {}, { { "b", "2" }, { "a", "1" }, { "c", "3" } } });
  store.Apply({ {}, { { "a", std::nullopt } } });
  const RowPage page = store.Read("a", "c", 10);
  BOOST_TEST(page.mRows.size() == 1);
  BOOST_TEST(page.mRows[0].mKey == "b");
  BOOST_TEST(page.mRows[0].mVersion == 1);
  BOOST_TEST(page.mRevision == 2);
  BOOST_TEST(!page.mMore);
  BOOST_TEST(store.Read("a", "z", 1).mMore);
}
