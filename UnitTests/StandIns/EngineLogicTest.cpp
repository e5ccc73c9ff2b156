/// Tests the components of the engine stand-in: KV memory, decode batch,
/// prefill queue and results, transfer link, cache events, orders, rate limit
/// and generated text.
#define BOOST_TEST_MODULE EngineLogic
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/EngineMemory.h>
#include <StandIns/PrefillResultStore.h>
#include <StandIns/LaggedValue.h>
#include <StandIns/EngineOrderHandler.h>
#include <StandIns/PrefillQueue.h>
#include <StandIns/PrefixCache.h>
#include <StandIns/OperationRateLimiter.h>
#include <StandIns/TokenText.h>
#include <StandIns/TransferLink.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::standin;

namespace {

const TimePoint kStart{ 1000s };

} // namespace

RC_BOOST_PROP(FreeAndReservedPiecesSumToTotal, ())
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
    std::uint32_t reservedPieces = 0;
    for (const auto& it : memory.Reservations()) {
      reservedPieces += it.second.mPieces;
    }
    RC_ASSERT(reservedPieces + memory.FreePieces() == 20u);
  }
}

BOOST_AUTO_TEST_CASE(InstanceLookupIgnoresInstancesWithSamePrefix)
{
  EngineMemory memory(20);
  memory.Reserve("a/1/1", 1, 0);
  memory.Reserve("ab/1/1", 1, 0);
  memory.Reserve("a/2/1", 1, 0);
  BOOST_TEST(memory.ListInstanceRequests("a").size() == 2);
}

BOOST_AUTO_TEST_CASE(HigherPriorityStreamsRunFirstAndEndAtLastToken)
{
  DecodeBatchSettings settings;
  settings.mMaxStreamsPerStep = 1;
  DecodeBatch batch(settings);
  batch.AddStream({ "draft", 1, 2, 0, 2 });
  batch.AddStream({ "lookup", 2, 0, 5, 6 });
  const std::vector<GeneratedToken> first = batch.RunStep();
  BOOST_TEST(first.size() == 1);
  BOOST_TEST(first[0].mRequest == "lookup");
  BOOST_TEST(first[0].mText == TokenText(2, 5));
  BOOST_TEST(first[0].mIsLast);
  BOOST_TEST(!batch.RunStep()[0].mIsLast);
  BOOST_TEST(batch.RunStep()[0].mIsLast);
  BOOST_TEST(batch.StreamCount() == 0);
}

BOOST_AUTO_TEST_CASE(CancelledPrefillReturnsNoJob)
{
  PrefillQueue queue(2);
  BOOST_TEST(queue.Add({ "i/1/1", "p", "", 2, 0 }) != 0);
  BOOST_TEST(queue.Add({ "i/2/1", "p", "", 0, 0 }) != 0);
  BOOST_TEST(queue.Add({ "i/3/1", "p", "", 0, 0 }) == 0);
  BOOST_TEST(queue.StartNext()->mRequest == "i/2/1");
  BOOST_TEST(queue.StartNext() == nullptr);
  BOOST_TEST(queue.CancelInstance("i").size() == 2);
  BOOST_TEST(!queue.FinishRunning().has_value());
  BOOST_TEST(queue.StartNext() == nullptr);
}

BOOST_AUTO_TEST_CASE(UnfetchedPrefillResultsAreCountedOnExpiry)
{
  PrefillResultStore store(800ms);
  const std::string fetched = store.Put(kStart, "i/1/1", { "p", "", 1 });
  store.Put(kStart, "i/2/1", { "p", "", 1 });
  BOOST_TEST(store.Get(kStart + 799ms, fetched).has_value());
  BOOST_TEST(!store.Get(kStart + 800ms, fetched).has_value());
  BOOST_TEST(store.UnfetchedCount() == 1);
}

BOOST_AUTO_TEST_CASE(TransfersOnOneLinkRunInSequence)
{
  TransferLink link(1e6);
  BOOST_TEST((link.Schedule(kStart, 1000000, 1500ms)->mEnd == 1s));
  BOOST_TEST((link.Schedule(kStart, 1000000, 1500ms)->mStart == 1s));
  BOOST_TEST(!link.Schedule(kStart, 1, 1500ms).has_value());
}

BOOST_AUTO_TEST_CASE(CacheEventsAreDelayedAndOldestEntryIsEvicted)
{
  PrefixCache cache(1);
  CacheEventFeed feed(300ms, 0.0);
  Random random(1);
  for (const std::string& it : { std::string(400, 'a'), std::string(8, 'b') }) {
    for (const CacheEvent& event : cache.Store(it)) {
      feed.Publish(kStart, event, random);
    }
  }
  BOOST_TEST(cache.MatchPrefix(std::string(8, 'b')) == 2u);
  BOOST_TEST(cache.MatchPrefix(std::string(400, 'a')) == 0u);
  BOOST_TEST(feed.Read(kStart + 299ms, 0).empty());
  BOOST_TEST(feed.Read(kStart + 300ms, 0).size() == 3);
  BOOST_TEST(!feed.Read(kStart + 300ms, 2)[0].mIsStored);
}

BOOST_AUTO_TEST_CASE(OnlyEnginesWithFenceCheckRejectStaleOrders)
{
  for (const bool checksFence : { true, false }) {
    EngineOrderHandler handler("decode", checksFence);
    BOOST_TEST(
      (handler.Apply({ "o1", "load", "m1", 5 }) == OrderResult::Applied));
    const OrderResult staleResult = handler.Apply({ "o2", "load", "m2", 4 });
    BOOST_TEST((staleResult == OrderResult::StaleFence) == checksFence);
    BOOST_TEST(handler.State().mModel == (checksFence ? "m1" : "m2"));
  }
}

BOOST_AUTO_TEST_CASE(LaggedValueAndRateLimitFollowElapsedTime)
{
  LaggedValue<int> value(2s, 1);
  value.Set(kStart, 2);
  BOOST_TEST(value.Get(kStart + 1999ms) == 1);
  BOOST_TEST(value.Get(kStart + 2s) == 2);
  OperationRateLimiter limiter(2);
  BOOST_TEST(limiter.TryTake(kStart));
  BOOST_TEST(limiter.TryTake(kStart));
  BOOST_TEST(!limiter.TryTake(kStart));
  BOOST_TEST(limiter.TryTake(kStart + 500ms));
}

BOOST_AUTO_TEST_CASE(GeneratedTextDependsOnlyOnPrompt)
{
  BOOST_TEST(Checksum("123456789") == 0xcbf43926u);
  BOOST_TEST(GeneratedText("123456789", 2) == "t0-cbf43926 t1-cbf43926 ");
  BOOST_TEST(GeneratedLength("x answer_tokens=12 y").value() == 12u);
  BOOST_TEST(!GeneratedLength("x").has_value());
}
