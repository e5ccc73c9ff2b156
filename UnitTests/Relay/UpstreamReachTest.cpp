/// Tests how failed connections show whether this VM is cut off from all
/// upstreams.
#define BOOST_TEST_MODULE UpstreamReach
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/UpstreamReach.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;

namespace {

struct ReachFixture
{
  bool Fail(const std::string& aUpstream, std::size_t aListed = 9)
  {
    return mReach.OnNotConnected(aUpstream, aListed, mNow);
  }

  TimePoint mNow{ 1h };
  UpstreamReach mReach{ UpstreamReachSettings() };
};

} // namespace

// Guards against a VM that takes one upstream that is gone for a cut.
BOOST_FIXTURE_TEST_CASE(OneUpstreamDoesNotShowACut, ReachFixture)
{
  for (int n = 0; n < 9; ++n) {
    BOOST_TEST(!Fail("a"));
  }
  BOOST_TEST(!mReach.IsCutOff());
  BOOST_TEST(mReach.IsInDoubt());
}

// Guards against a cut that is not noticed, or reported more than once.
BOOST_FIXTURE_TEST_CASE(SeveralInARowShowACut, ReachFixture)
{
  Fail("a");
  BOOST_TEST(Fail("b"));
  BOOST_TEST(!Fail("c"));
  BOOST_TEST(mReach.IsCutOff());
  BOOST_TEST(mReach.Unreached().size() == 3U);
  BOOST_TEST(mReach.OnConnected());
  BOOST_TEST(!mReach.IsCutOff());
  BOOST_TEST(!mReach.IsInDoubt());
  BOOST_TEST(!mReach.OnConnected());
}

// Guards against upstreams that fail one by one, over days, and count together.
BOOST_FIXTURE_TEST_CASE(AConnectionInBetweenEndsTheRow, ReachFixture)
{
  for (const char* id : { "a", "b", "c", "d" }) {
    BOOST_TEST(!Fail(id));
    mReach.OnConnected();
  }
}

// Guards against fleets with a single upstream, where a cut would never show.
BOOST_FIXTURE_TEST_CASE(ASingleUpstreamShowsACut, ReachFixture)
{
  BOOST_TEST(Fail("a", 1));
}

// Guards against upstreams that are gone and count as a cut for good.
BOOST_FIXTURE_TEST_CASE(UpstreamsThatAreGoneDoNotCount, ReachFixture)
{
  Fail("a");
  Fail("b");
  mReach.Forget("a");
  BOOST_TEST(mReach.IsCutOff());
  mReach.Forget("b");
  BOOST_TEST(!mReach.IsCutOff());
  BOOST_TEST(!mReach.NextCheck().has_value());
}

// Guards against a VM that asks too often, or never again.
BOOST_FIXTURE_TEST_CASE(ChecksAreDueWhileInDoubt, ReachFixture)
{
  const UpstreamReachSettings settings;
  BOOST_TEST(!mReach.NextCheck().has_value());
  Fail("a");
  BOOST_TEST((mReach.NextCheck() == mNow + settings.mFirstCheckDelay));
  mNow += settings.mFirstCheckDelay;
  mReach.OnCheckStarted(mNow);
  Fail("b");
  BOOST_TEST((mReach.NextCheck() == mNow + settings.mCheckInterval));
  mReach.OnConnected();
  BOOST_TEST(!mReach.NextCheck().has_value());
}
