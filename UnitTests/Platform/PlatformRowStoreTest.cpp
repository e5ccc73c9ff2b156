/// Tests the client of the platform's store: duplicated responses, reads of
/// what has changed, and reads that take long.
#define BOOST_TEST_MODULE PlatformRowStore
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformRowStore.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// A store with one row for each table, whose key is the table's name. On a
/// connection that carries a second request, it sends its earlier response once
/// more before the response to that request.
class DuplicatingStore : public DescriptorListener
{
public:
  explicit DuplicatingStore(Reactor& aReactor)
    : mReactor(aReactor)
    , mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    BOOST_REQUIRE_EQUAL(::bind(mSocket, generic, size), 0);
    BOOST_REQUIRE_EQUAL(::listen(mSocket, 16), 0);
    ::getsockname(mSocket, generic, &size);
    mPort = ntohs(address.sin_port);
    mReactor.Watch(mSocket, this);
  }
  ~DuplicatingStore() override
  {
    mReactor.Unwatch(mSocket);
    ::close(mSocket);
    for (const auto& [connection, sent] : mLastSent) {
      mReactor.Unwatch(connection);
      ::close(connection);
    }
  }
  DuplicatingStore(const DuplicatingStore&) = delete;
  DuplicatingStore& operator=(const DuplicatingStore&) = delete;

  // See: DescriptorListener
  void OnReadable(int aDescriptor) override
  {
    if (aDescriptor == mSocket) {
      const int connection = ::accept(mSocket, nullptr, nullptr);
      mLastSent[connection] = "";
      mReactor.Watch(connection, this);
      return;
    }
    std::array<char, 65536> buffer = {};
    const auto n = ::recv(aDescriptor, buffer.data(), buffer.size(), 0);
    if (n <= 0) {
      mReactor.Unwatch(aDescriptor);
      ::close(aDescriptor);
      mLastSent.erase(aDescriptor);
      return;
    }
    const std::string request(buffer.data(), static_cast<std::size_t>(n));
    const auto start = request.find("table=") + 6;
    const std::string table =
      request.substr(start, request.find('&', start) - start);
    const std::string body =
      R"({"rows":[{"key":")" + table + R"(","value":"","ver":1}]})";
    const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
    const std::string sent = mLastSent[aDescriptor] + response;
    ::send(aDescriptor, sent.data(), sent.size(), MSG_NOSIGNAL);
    mLastSent[aDescriptor] = response;
  }

  std::uint16_t mPort = 0;

private:
  Reactor& mReactor;
  int mSocket;
  std::map<int, std::string> mLastSent; ///< By connection.
};

} // namespace

// Guards against a duplicate of an earlier response that is taken for the
// response to a later call on the same connection.
BOOST_FIXTURE_TEST_CASE(DuplicatedResponsesReachNoOtherCall, ShellFixture)
{
  DuplicatingStore server(*mReactor);
  platform::PlatformRowStoreSettings settings;
  settings.mAddress = "127.0.0.1:" + std::to_string(server.mPort);
  platform::PlatformRowStore store(settings, mReactor.get(), mClient.get());
  for (const std::string table : { "op", "servers", "vms" }) {
    std::optional<std::string> key;
    store.ReadTable(table, [&](auto aRows, const Reason&) {
      key = aRows && aRows->size() == 1 ? aRows->front().mKey : "none";
    });
    BOOST_REQUIRE(Until([&] { return key.has_value(); }));
    BOOST_TEST(*key == table);
  }
}

namespace {

/// A store with one table, which responds with the texts that a test sets.
struct ChangingStoreFixture : ShellFixture
{
  ChangingStoreFixture()
  {
    Serve();
    mHandler.mRespond = [this](HttpExchange& aExchange) {
      const HttpRequest& request = aExchange.Request();
      const bool isFeed = request.mPath == "/-/rows-feed";
      mTargets.push_back(isFeed ? "after " + request.mQuery.at("after")
                                : "whole");
      HttpHeaders headers;
      if (!mEra.empty()) {
        headers["Store-Era"] = mEra;
      }
      aExchange.Respond(
        isFeed ? mFeedStatus : 200, headers, isFeed ? mFeed : mWhole);
    };
    mSettings.mAddress = "127.0.0.1:" + std::to_string(mServer->Port());
    mStore = std::make_unique<platform::PlatformRowStore>(
      mSettings, mReactor.get(), mClient.get());
  }

  /// Reads the table. Returns its rows as "key=value@version,"; "failed".
  std::string Read()
  {
    std::optional<std::string> text;
    mStore->ReadTable("t", [&](auto aRows, const Reason&) {
      text = aRows ? "" : "failed";
      for (const StoredRow& it : aRows ? *aRows : std::vector<StoredRow>()) {
        *text += it.mKey + '=' + it.mValue + '@' +
                 std::to_string(it.mVersion.mNumber) + ',';
      }
    });
    BOOST_REQUIRE(Until([&] { return text.has_value(); }));
    return *text;
  }

  platform::PlatformRowStoreSettings mSettings;
  std::unique_ptr<platform::PlatformRowStore> mStore;
  std::vector<std::string> mTargets; ///< What was asked for.
  std::string mWhole = R"({"rows":[{"key":"a","value":"MQ==","ver":3},)"
                       R"({"key":"b","value":"Mg==","ver":4}],"ver":7})";
  std::string mFeed = R"({"rows":[],"ver":7})";
  int mFeedStatus = 200;
  std::string mEra; ///< That responses state; empty: none.
};

} // namespace

// Guards against a table that is read whole again and again, which fills a
// narrow link (CONFIG).
BOOST_FIXTURE_TEST_CASE(ATableThatWasReadIsFollowedByItsChanges,
                        ChangingStoreFixture)
{
  BOOST_TEST(Read() == "a=1@3,b=2@4,");
  BOOST_TEST(Read() == "a=1@3,b=2@4,");
  mFeed = R"({"rows":[{"key":"a","value":"Mw==","ver":8},)"
          R"({"key":"b","ver":9,"deleted":true},)"
          R"({"key":"c","value":"NA==","ver":10}],"ver":12})";
  BOOST_TEST(Read() == "a=3@8,c=4@10,");
  mFeed = R"({"rows":[],"ver":12})";
  BOOST_TEST(Read() == "a=3@8,c=4@10,");
  const std::vector<std::string> targets = {
    "whole", "after 7", "after 7", "after 12"
  };
  BOOST_TEST(mTargets == targets, boost::test_tools::per_element());
}

// Guards against a row that is used although it was removed, because it was
// written and removed between two reads (DRAIN).
BOOST_FIXTURE_TEST_CASE(TheLastOfSeveralChangesOfARowCounts,
                        ChangingStoreFixture)
{
  Read();
  mFeed = R"({"rows":[{"key":"a","ver":8,"deleted":true},)"
          R"({"key":"c","value":"NA==","ver":9},)"
          R"({"key":"c","ver":10,"deleted":true},)"
          R"({"key":"a","value":"NQ==","ver":11},)"
          R"({"key":"b","value":"Ng==","ver":12},)"
          R"({"key":"b","value":"Nw==","ver":13}],"ver":13})";
  BOOST_TEST(Read() == "a=5@11,b=7@13,");
}

BOOST_FIXTURE_TEST_CASE(ATableIsReadWholeWhenItsChangesAreNotKnown,
                        ChangingStoreFixture)
{
  Read();
  const auto rowsAfter = [this](int aStatus, const std::string& aFeed) {
    mFeedStatus = aStatus;
    mFeed = aFeed;
    mTargets.clear();
    const std::string rows = Read();
    return rows + ' ' + std::to_string(mTargets.size());
  };
  // The history was discarded, the store was restored from a copy, or the
  // response can't be read.
  BOOST_TEST(rowsAfter(410, "{}") == "a=1@3,b=2@4, 2");
  BOOST_TEST(rowsAfter(200, R"({"rows":[],"ver":5})") == "a=1@3,b=2@4, 2");
  BOOST_TEST(rowsAfter(200, R"({"rows":[]})") == "a=1@3,b=2@4, 2");
  BOOST_TEST(rowsAfter(200, "no rows") == "a=1@3,b=2@4, 2");
  // The store is not available: nothing is known.
  BOOST_TEST(rowsAfter(503, "{}") == "failed 1");
  BOOST_TEST(rowsAfter(200, R"({"rows":[],"ver":7})") == "a=1@3,b=2@4, 1");
}

BOOST_FIXTURE_TEST_CASE(ARowThatBecomesUnreadableCostsItselfOnly,
                        ChangingStoreFixture)
{
  Read();
  mFeed = R"({"rows":[{"key":"a","value":"no base64","ver":8},)"
          R"({"key":"b","value":"NQ==","ver":9}],"ver":9})";
  BOOST_TEST(Read() == "b=5@9,");
}

// Guards against a read that is given up while its bytes still arrive, and is
// begun anew (CONFIG).
BOOST_FIXTURE_TEST_CASE(AReadEndsWhenItStallsNotWhileItGoesOn, ShellFixture)
{
  Serve();
  std::shared_ptr<HttpExchange> exchange;
  mHandler.mRespond = [&](HttpExchange& aExchange) {
    exchange = mHandler.mLastExchange;
    aExchange.StartStream(200, {});
  };
  platform::PlatformRowStoreSettings settings;
  settings.mAddress = "127.0.0.1:" + std::to_string(mServer->Port());
  settings.mStallTimeout = 200ms;
  platform::PlatformRowStore store(settings, mReactor.get(), mClient.get());
  std::string result;
  const auto read = [&] {
    result.clear();
    store.ReadTable("t", [&](auto aRows, const Reason& aReason) {
      result = aRows ? "read" : aReason.mText;
    });
  };
  const auto sendParts = [&](const std::string& aText) {
    BOOST_REQUIRE(Until([&] { return exchange != nullptr; }));
    for (const char it : aText) {
      exchange->Write(std::string(1, it));
      const TimePoint next = mReactor->Now() + 30ms;
      BOOST_REQUIRE(Until([&] { return mReactor->Now() >= next; }));
    }
  };
  read();
  sendParts(R"({"rows":[],"ver":1})"); // 19 parts take 570 ms.
  BOOST_TEST(result == "");
  exchange->EndStream();
  BOOST_REQUIRE(Until([&] { return !result.empty(); }));
  BOOST_TEST(result == "read");

  exchange.reset();
  read();
  sendParts("{}");
  const TimePoint stalledAt = mReactor->Now();
  BOOST_REQUIRE(Until([&] { return !result.empty(); }));
  BOOST_TEST(result ==
             "no byte of the response arrived in time, 2 bytes received");
  BOOST_TEST((mReactor->Now() - stalledAt < 2s));
}

// Guards against rows that stay hidden after the store was restored from a
// copy, since it has passed the version that was read last (CONFIG).
BOOST_FIXTURE_TEST_CASE(ATableThatWasReadInAFormerEraIsReadWhole,
                        ChangingStoreFixture)
{
  const std::string restored =
    R"({"rows":[{"key":"a","value":"OQ==","ver":5}],)";
  int era = 1;
  for (const std::string version : { "9", "7", "6" }) {
    mEra = std::to_string(era);
    mWhole = R"({"rows":[{"key":"a","value":"MQ==","ver":3}],"ver":7})";
    mFeed = R"({"rows":[],"ver":7})";
    Read();
    BOOST_TEST(Read() == "a=1@3,");
    // The row of version 5 is not among the changes after 7.
    mEra = std::to_string(++era);
    mWhole = restored + R"("ver":)" + version + "}";
    mFeed = R"({"rows":[],"ver":)" + version + "}";
    BOOST_TEST(Read() == "a=9@5,", "back at version " << version);
    BOOST_TEST(Read() == "a=9@5,");
    ++era;
  }
}

// Guards against an answer that was under way during the restoration and brings
// rows back that the store has lost (CONFIG).
BOOST_FIXTURE_TEST_CASE(AResponseOfAFormerEraIsDropped, ChangingStoreFixture)
{
  mEra = "2";
  Read();
  mEra = "1";
  mFeed = R"({"rows":[{"key":"a","value":"OQ==","ver":8}],"ver":8})";
  BOOST_TEST(Read() == "failed");
  mEra = "2";
  mFeed = R"({"rows":[],"ver":7})";
  BOOST_TEST(Read() == "a=1@3,b=2@4,");
  BOOST_TEST(mStore->Era() == 2U);
}

// Guards against a table that is put together from pages of two eras (CONFIG).
BOOST_FIXTURE_TEST_CASE(PagesOfTwoErasAreNotJoined, ChangingStoreFixture)
{
  mEra = "1";
  const std::string last = mWhole;
  mWhole = R"({"rows":[{"key":"0","value":"MQ==","ver":1}],"ver":7,)"
           R"("hasMore":true})";
  mHandler.mRespond =
    [this, last, respond = mHandler.mRespond](HttpExchange& aExchange) {
      respond(aExchange);
      mEra = "2"; // The first page was the last response of era 1.
      mWhole = last;
    };
  BOOST_TEST(Read() == "a=1@3,b=2@4,");
  BOOST_TEST(mTargets.size() == 3U);
}

namespace {

/// Counts the restorations that a store reports.
struct RestorationCounter : RowStoreListener
{
  // See: RowStoreListener
  void OnStoreRestored(std::uint64_t aEra) override { mEras.push_back(aEra); }

  std::vector<std::uint64_t> mEras;
};

} // namespace

// Guards against what this VM keeps in the store staying lost after a
// restoration, since nobody is told of it.
BOOST_FIXTURE_TEST_CASE(EachRestorationIsReportedOnce, ChangingStoreFixture)
{
  RestorationCounter counter;
  mStore->SetListener(&counter);
  for (const std::string era : { "", "4", "4", "5", "5", "4", "7" }) {
    mEra = era;
    Read();
  }
  const std::vector<std::uint64_t> expected = { 5, 7 };
  BOOST_TEST(counter.mEras == expected, boost::test_tools::per_element());
}

// Guards against a change whose condition is met by another row, which got the
// number of the expected one after a restoration.
BOOST_FIXTURE_TEST_CASE(AConditionOnAFormerEraIsNotMet, ChangingStoreFixture)
{
  std::optional<StoreVersion> version;
  const auto change = [&](const StoreVersion& aExpected) {
    std::optional<ReasonCode> code;
    mStore->Change({ "t", "a", "1", aExpected },
                   [&](const Reason& aReason, StoreVersion aVersion) {
                     code = aReason.mCode;
                     version = aVersion;
                   });
    BOOST_REQUIRE(Until([&] { return code.has_value(); }));
    return *code;
  };
  mWhole = R"({"ver":8})"; // The condition holds.
  mEra = "1";
  BOOST_TEST((change({ 3, 1 }) == ReasonCode::None));
  BOOST_TEST((version == StoreVersion{ 8, 1 }));
  mEra = "2"; // Not known here until the response.
  BOOST_TEST((change({ 3, 1 }) == ReasonCode::InDoubt));
  mTargets.clear();
  BOOST_TEST((change({ 3, 1 }) == ReasonCode::Conflict));
  BOOST_TEST(mTargets.empty());
  BOOST_TEST((change({ 3, 2 }) == ReasonCode::None));
  BOOST_TEST((change({}) == ReasonCode::None)); // On the row's absence.
}
