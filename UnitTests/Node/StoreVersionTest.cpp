/// Tests what is derived from versions of a store that is restored from a copy.
#define BOOST_TEST_MODULE StoreVersion
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/StageOrderManager.h>
#include <Peridothoist/Relay/UpstreamList.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

// Guards against a version of a former era that is taken for the newer one
// because its number is higher.
BOOST_AUTO_TEST_CASE(AVersionOfALaterEraIsLater)
{
  const StoreVersion before{ 900, 1 };
  const StoreVersion after{ 3, 2 };
  BOOST_TEST((before < after));
  BOOST_TEST(!(after < before));
  BOOST_TEST((StoreVersion{ 3, 1 } != after));
}

// Guards against orders that engines refuse, or that go back, because claims
// get lower numbers after a restoration (ONE).
BOOST_AUTO_TEST_CASE(FencingNumbersNeverGoBack)
{
  BOOST_TEST(FencingNumberOf({ 900, 0 }) == 900U); // A store without eras.
  BOOST_TEST(FencingNumberOf({ 900, 1 }) < FencingNumberOf({ 3, 2 }));
  BOOST_TEST(FencingNumberOf({ 3, 2 }) < FencingNumberOf({ 4, 2 }));
}

namespace {

RelayUpstream
MakeUpstream(const std::string& aId, bool aIsLeaving)
{
  RelayUpstream upstream;
  upstream.mId = aId;
  upstream.mService = "s";
  upstream.mIncarnationId = 7;
  upstream.mIsLeaving = aIsLeaving;
  return upstream;
}

} // namespace

// Guards against upstreams that are lost, or leave no more, because the copy of
// the store is older than their entries (DRAIN).
BOOST_AUTO_TEST_CASE(ARestoredListKeepsWhatItsUpstreamsWriteAgain)
{
  const TimePoint start{ 100s };
  UpstreamList list{ {} };
  list.OnListRead({ MakeUpstream("new", false), MakeUpstream("leaving", true) },
                  start);
  list.OnRestored(start + 1s);
  const auto lost =
    list.OnListRead({ MakeUpstream("leaving", false) }, start + 1s);
  BOOST_TEST(lost.empty());
  BOOST_TEST(list.AcceptsRequests("new"));
  BOOST_TEST(!list.AcceptsRequests("leaving"));
  // What is not written again by then is gone.
  list.OnListRead({ MakeUpstream("leaving", false) }, start + 4s);
  BOOST_TEST(list.Find("new") == nullptr);
  BOOST_TEST(list.AcceptsRequests("leaving"));
}
