/// Tests the client of the platform's store against a server whose responses
/// are duplicated.
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
  platform::PlatformRowStore store(settings, mClient.get());
  for (const std::string table : { "op", "servers", "vms" }) {
    std::optional<std::string> key;
    store.ReadTable(table, [&](auto aRows, const Reason&) {
      key = aRows && aRows->size() == 1 ? aRows->front().mKey : "none";
    });
    BOOST_REQUIRE(Until([&] { return key.has_value(); }));
    BOOST_TEST(*key == table);
  }
}
