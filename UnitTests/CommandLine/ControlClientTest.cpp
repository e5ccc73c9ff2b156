/// Tests the command line's client of the admin API against plain sockets.
#define BOOST_TEST_MODULE ControlClient
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>
#include <Shell/ShellFixture.h>

#include <thread>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

/// A control process that sends fixed bytes for each request, on a thread of
/// its own.
class ControlStandIn
{
public:
  explicit ControlStandIn(const std::string& aResponse)
    : mReactor(Reactor::Create())
    , mServer(*mReactor, aResponse)
    , mThread([this] { mReactor->Run(); })
  {
  }
  ~ControlStandIn()
  {
    mReactor->Post([this] { mReactor->Stop(); });
    mThread.join();
  }
  ControlStandIn(const ControlStandIn&) = delete;
  ControlStandIn& operator=(const ControlStandIn&) = delete;

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(mServer.mPort);
  }

private:
  std::unique_ptr<Reactor> mReactor;
  RawServer mServer;
  std::thread mThread;
};

ControlResponse
Send(const std::string& aMethod, std::vector<std::string> aControls)
{
  ControlClientSettings settings;
  settings.mControls = std::move(aControls);
  settings.mOperatorKey = "key";
  ControlRequest request;
  request.mMethod = aMethod;
  request.mPath = "/v1/status";
  return ControlClient(settings).Send(request);
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kSound = kOk + "Content-Length: 8\r\n\r\n{\"a\": 1}";

} // namespace

BOOST_AUTO_TEST_CASE(AResponseIsReturned)
{
  const ControlStandIn control(kSound);
  const auto response = Send("GET", { control.Url() });
  BOOST_TEST(response.mStatus == 200);
  BOOST_TEST(response.mBody.value("a", 0) == 1);
}

// Guards against an operator who is told that a change was made, or what holds,
// by a broken response.
BOOST_AUTO_TEST_CASE(ABrokenResponseLeavesAChangeInDoubt)
{
  for (const char* fields : { "Content-Length: 8x\r\n",
                              "Content-Length : 8\r\n",
                              "Content-Length: 8\r\ngarbage\r\n",
                              "Content-Length: 8\r\nX\x01Y: z\r\n" }) {
    const ControlStandIn broken(kOk + fields + "\r\n{\"a\": 1}");
    const ControlStandIn sound(kSound);
    const auto change = Send("POST", { broken.Url(), sound.Url() });
    BOOST_TEST(change.mStatus == 0, fields);
    BOOST_TEST(change.mIsInDoubt, fields);
    BOOST_TEST(!change.mText.empty(), fields);
    // What changes nothing is asked of the next one.
    BOOST_TEST(Send("GET", { broken.Url(), sound.Url() }).mStatus == 200);
  }
}

BOOST_AUTO_TEST_CASE(AProcessThatIsGoneLeavesNothingInDoubt)
{
  std::string gone;
  {
    const ControlStandIn control(kSound);
    gone = control.Url();
  }
  BOOST_TEST(!Send("POST", { gone }).mIsInDoubt);
  const ControlStandIn next(kSound);
  BOOST_TEST(Send("POST", { gone, next.Url() }).mStatus == 200);
}
