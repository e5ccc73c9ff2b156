#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/UpstreamControlCall.h>

namespace peridothoist {

namespace {

/// Maximum size of a response, of which only the head is used.
constexpr std::size_t kMaxResponseBytes = 1024 * 1024;

class ControlCallListener : public HttpCallListener
{
public:
  ControlCallListener(const UpstreamProtocol& aProtocol,
                      UpstreamHeadCallback aOnHead,
                      UpstreamEndCallback aOnEnd)
    : mProtocol(aProtocol)
    , mOnHead(std::move(aOnHead))
    , mOnEnd(std::move(aOnEnd))
  {
  }

  // See: HttpCallListener
  void OnHead(int aStatus, const HttpHeaders& aHeaders) override
  {
    mOnHead(mProtocol.ParseResponseHead(HttpRequest(), aStatus, aHeaders));
  }
  void OnData(std::string_view /*aData*/) override {}
  void OnEnd(const HttpCallResult& aResult) override { mOnEnd(aResult); }

private:
  const UpstreamProtocol& mProtocol;
  UpstreamHeadCallback mOnHead;
  UpstreamEndCallback mOnEnd;
};

} // namespace

void
StartControlCall(HttpClient& aClient,
                 const UpstreamProtocol& aProtocol,
                 HttpCall aCall,
                 UpstreamHeadCallback aOnHead,
                 UpstreamEndCallback aOnEnd)
{
  aCall.mMaxResponseBytes = kMaxResponseBytes;
  aClient.Start(std::move(aCall),
                std::make_shared<ControlCallListener>(
                  aProtocol, std::move(aOnHead), std::move(aOnEnd)));
}

} // namespace peridothoist
