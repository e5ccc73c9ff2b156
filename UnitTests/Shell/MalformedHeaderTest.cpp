/// Tests requests with headers that the server's library reads in a way of its
/// own.
#define BOOST_TEST_MODULE MalformedHeader
#include <Peridothoist/Peridothoist.h>
#include <Shell/ShellFixture.h>

#include <boost/test/unit_test.hpp>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

struct MalformedHeaderFixture : ShellFixture
{
  MalformedHeaderFixture()
  {
    mHandler.mRespond = [](HttpExchange& aExchange) {
      aExchange.Respond(200, {}, "served");
    };
    Serve();
  }

  void CheckRejected(const std::string& aHeader)
  {
    RawCaller caller(mServer->Port());
    caller.Send("POST / HTTP/1.1\r\nHost: x\r\n" + aHeader +
                "\r\nContent-Length: 2\r\n\r\nhi");
    BOOST_REQUIRE(Until([&] {
      caller.Receive();
      return caller.mReceived.find("\r\n\r\n") != std::string::npos;
    }));
    BOOST_TEST(mHandler.mRequests == 0);
    BOOST_TEST(caller.mReceived.rfind("HTTP/1.1 400 ", 0) == 0U);
  }
};

} // namespace

// Guards against a head that ends early at a line without a name, after which
// the rest of the head is taken for another request (UNASKED).
BOOST_FIXTURE_TEST_CASE(AHeaderWithoutANameIsRejected, MalformedHeaderFixture)
{
  CheckRejected(": empty");
}

// Guards against a value that is passed on without what follows a NUL.
BOOST_FIXTURE_TEST_CASE(AValueWithANulIsRejected, MalformedHeaderFixture)
{
  CheckRejected(std::string("X: a\0z", 6));
}
