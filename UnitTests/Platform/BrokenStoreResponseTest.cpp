/// Tests what the client of the platform's store makes of broken responses.
#define BOOST_TEST_MODULE BrokenStoreResponse
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>
#include <platform/PlatformRowStore.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

const std::string kBody =
  R"({"rows":[{"key":"a","value":"","ver":3}],"ver":8})";

const std::vector<std::string> kBrokenHeads = {
  "HTTP/1.1 200 OK\r\nStore-Era: 9\r\nContent-Length: " +
    std::to_string(kBody.size()) + "x\r\n\r\n",
  "HTTP/1.1 200 OK\r\nStore-Era: 9\r\nContent-Length : 2\r\n\r\n",
  "HTTP/1.1 200 OK\r\nStore-Era: 9\r\nX Y: z\r\n\r\n",
  "HTTP/1.1 200 OK\r\nStore-Era: 9\r\n: z\r\n\r\n",
  "HTTP/1.1 412 Conflict\r\nX\x01: z\r\n\r\n",
  "HTTP/1.1 503 Busy\r\n folded: z\r\n\r\n",
};

} // namespace

// Guards against rows, refusals and eras that are believed although the
// response is broken: a change may have been made.
BOOST_FIXTURE_TEST_CASE(NothingOfABrokenResponseIsBelieved, ShellFixture)
{
  for (const std::string& head : kBrokenHeads) {
    const RawServer server(*mReactor, head + kBody);
    platform::PlatformRowStoreSettings settings;
    settings.mAddress = "127.0.0.1:" + std::to_string(server.mPort);
    platform::PlatformRowStore store(settings, mReactor.get(), mClient.get());

    std::optional<bool> hasRead;
    store.ReadTable(
      "t", [&](auto aRows, const Reason&) { hasRead = aRows.has_value(); });
    BOOST_REQUIRE(Until([&] { return hasRead.has_value(); }));
    BOOST_TEST(!*hasRead, head);

    std::optional<ReasonCode> code;
    store.Change(
      { "t", "a", "value", StoreVersion{ 3, 0 } },
      [&](const Reason& aReason, StoreVersion) { code = aReason.mCode; });
    BOOST_REQUIRE(Until([&] { return code.has_value(); }));
    BOOST_TEST((*code == ReasonCode::InDoubt), head);
    BOOST_TEST(store.Era() == 0U, head);
  }
}
