/// The engine stand-in's parts: memory, batch, prefill queue, kept results,
/// link, cache events, orders and token texts.
#define BOOST_TEST_MODULE EngineLogic
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/EngineMemory.h>
#include <StandIns/KvShelf.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/OrderBook.h>
#include <StandIns/PrefillQueue.h>
#include <StandIns/PrefixCache.h>
#include <StandIns/RateMeter.h>
#include <StandIns/TokenText.h>
#include <StandIns/TransferLink.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::standin;

namespace {

const TimePoint kStart{ 1000s };

} // namespace

RC_BOOST_PROP(FreeAndHeldPiecesAddUp, ())
{
  EngineMemory memory(20);
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
    rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(0, 9)));
  for (const auto& [request, pieces] : steps) {
    const std::string id = "i/" + std::to_string(request) + "/1";
    if (pieces == 0) {
      memory.Free(id);
    } else {
      memory.Reserve(id, pieces, 0);
    }
    std::uint32_t held = 0;
    for (const auto& it : memory.All()) {
      held += it.second.mPieces;
    }
    RC_ASSERT(held + memory.FreePieces() == 20u);
  }
}

BOOST_AUTO_TEST_CASE(MemoryIsFoundByInstance)
{
  EngineMemory memory(20);
  memory.Reserve("a/1/1", 1, 0);
  memory.Reserve("ab/1/1", 1, 0);
  memory.Reserve("a/2/1", 1, 0);
  BOOST_TEST(memory.OfInstance("a").size() == 2);
}

BOOST_AUTO_TEST_CASE(UrgentStreamsRunFirstAndEndOnTime)
{
  DecodeBatchSettings settings;
  settings.mMaxBatch = 1;
  DecodeBatch batch(settings);
  batch.Start({ "draft", 1, 2, 0, 2 });
  batch.Start({ "lookup", 2, 0, 5, 6 });
  const std::vector<DecodeStep> first = batch.Step();
  BOOST_TEST(first.size() == 1);
  BOOST_TEST(first[0].mRequest == "lookup");
  BOOST_TEST(first[0].mText == TokenText(2, 5));
  BOOST_TEST(first[0].mLast);
  BOOST_TEST(!batch.Step()[0].mLast);
  BOOST_TEST(batch.Step()[0].mLast);
  BOOST_TEST(batch.Size() == 0);
}

BOOST_AUTO_TEST_CASE(CancelledPrefillGivesNothing)
{
  PrefillQueue queue(2);
  BOOST_TEST(queue.Add({ "i/1/1", "p", "", 2, 0 }) != 0);
  BOOST_TEST(queue.Add({ "i/2/1", "p", "", 0, 0 }) != 0);
  BOOST_TEST(queue.Add({ "i/3/1", "p", "", 0, 0 }) == 0);
  BOOST_TEST(queue.StartNext()->mRequest == "i/2/1");
  BOOST_TEST(queue.StartNext() == nullptr);
  BOOST_TEST(queue.CancelInstance("i").size() == 2);
  BOOST_TEST(!queue.Finish().has_value());
  BOOST_TEST(queue.StartNext() == nullptr);
}

BOOST_AUTO_TEST_CASE(KeptResultsExpireAndCountAsWastedUnlessFetched)
{
  KvShelf shelf(800ms);
  const std::string fetched = shelf.Put(kStart, "i/1/1", { "p", "", 1 });
  shelf.Put(kStart, "i/2/1", { "p", "", 1 });
  BOOST_TEST(shelf.Get(kStart + 799ms, fetched).has_value());
  BOOST_TEST(!shelf.Get(kStart + 800ms, fetched).has_value());
  BOOST_TEST(shelf.Wasted() == 1);
}

BOOST_AUTO_TEST_CASE(TransfersShareTheLink)
{
  TransferLink link(1e6);
  BOOST_TEST((link.Book(kStart, 1000000, 1500ms)->mEnd == 1s));
  BOOST_TEST((link.Book(kStart, 1000000, 1500ms)->mStart == 1s));
  BOOST_TEST(!link.Book(kStart, 1, 1500ms).has_value());
}

BOOST_AUTO_TEST_CASE(CacheEventsAreLateAndEvictTheOldest)
{
  PrefixCache cache(1);
  CacheEventFeed feed(300ms, 0.0);
  Random random(1);
  for (const std::string& it : { std::string(400, 'a'), std::string(8, 'b') }) {
    for (const CacheEvent& event : cache.Store(it)) {
      feed.Add(kStart, event, random);
    }
  }
  BOOST_TEST(cache.Match(std::string(8, 'b')) == 2u);
  BOOST_TEST(cache.Match(std::string(400, 'a')) == 0u);
  BOOST_TEST(feed.Read(kStart + 299ms, 0).empty());
  BOOST_TEST(feed.Read(kStart + 300ms, 0).size() == 3);
  BOOST_TEST(!feed.Read(kStart + 300ms, 2)[0].mStored);
}

BOOST_AUTO_TEST_CASE(OnlyEnginesThatCheckRefuseOldFences)
{
  for (const bool checks : { true, false }) {
    OrderBook book("decode", checks);
    BOOST_TEST((book.Apply({ "o1", "load", "m1", 5 }) == OrderResult::Applied));
    const OrderResult late = book.Apply({ "o2", "load", "m2", 4 });
    BOOST_TEST((late == OrderResult::StaleFence) == checks);
    BOOST_TEST(book.State().mModel == (checks ? "m1" : "m2"));
  }
}

BOOST_AUTO_TEST_CASE(LaggedValuesAndRates)
{
  LaggedValue<int> value(2s, 1);
  value.Set(kStart, 2);
  BOOST_TEST(value.Get(kStart + 1999ms) == 1);
  BOOST_TEST(value.Get(kStart + 2s) == 2);
  RateMeter meter(2);
  BOOST_TEST(meter.Take(kStart));
  BOOST_TEST(meter.Take(kStart));
  BOOST_TEST(!meter.Take(kStart));
  BOOST_TEST(meter.Take(kStart + 500ms));
}

BOOST_AUTO_TEST_CASE(AnswersDependOnThePromptAlone)
{
  BOOST_TEST(Checksum("123456789") == 0xcbf43926u);
  BOOST_TEST(AnswerText("123456789", 2) == "t0-cbf43926 t1-cbf43926 ");
  BOOST_TEST(AnswerLength("x answer_tokens=12 y").value() == 12u);
  BOOST_TEST(!AnswerLength("x").has_value());
}
