#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PeerViews.h>

namespace peridothoist {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

constexpr const char* kConfigurationPath = "/view/configuration";
constexpr const char* kUpstreamsPath = "/view/upstreams";
constexpr const char* kVmsPath = "/view/vms";

/// Peers are near; a VM that gets no response soon reads the store.
constexpr Duration kConnectTimeout = 300ms;
constexpr Duration kTotalTimeout = 800ms;

template<typename Part>
EndpointResponse
MakeResponse(const std::optional<Part>& aPart,
             std::string (*aEncode)(const Part& aPart))
{
  if (!aPart) {
    return { kUnavailable,
             { { "content-type", "text/plain" } },
             "not known\n" };
  }
  return { kOk, { { "content-type", "application/cbor" } }, aEncode(*aPart) };
}

} // namespace

std::unique_ptr<EndpointServer>
StartPeerViewServer(Reactor& aReactor,
                    const std::string& aAddress,
                    PeerViewSource* aSource,
                    Reason* aReason)
{
  const auto handler =
    [aSource](const HttpRequest& aRequest) -> std::optional<EndpointResponse> {
    if (aRequest.mPath == kConfigurationPath) {
      return MakeResponse(aSource->ShareConfiguration(),
                          &EncodeSharedConfiguration);
    }
    if (aRequest.mPath == kUpstreamsPath) {
      return MakeResponse(aSource->ShareUpstreams(), &EncodeSharedUpstreams);
    }
    if (aRequest.mPath == kVmsPath) {
      return MakeResponse(aSource->ShareVms(), &EncodeVmRecords);
    }
    return std::nullopt;
  };
  return EndpointServer::Create(aReactor, aAddress, handler, aReason);
}

template<typename Part>
void
PeerViewClient::Fetch(const std::string& aAddress,
                      const char* aPath,
                      std::optional<Part> (*aDecode)(std::string_view aBytes),
                      Callback<Part> aCallback)
{
  HttpCall call;
  call.mUrl = "http://" + aAddress + aPath;
  call.mConnectTimeout = kConnectTimeout;
  call.mTotalTimeout = kTotalTimeout;
  call.mSendOnce = true; // A kept connection may have gone silent.
  mClient->Fetch(std::move(call),
                 [aDecode, aCallback](const HttpCallResult& aResult,
                                      const std::string& aBody) {
                   const bool isWhole = aResult.mFailure == CallFailure::None &&
                                        aResult.mStatus == kOk;
                   aCallback(isWhole ? aDecode(aBody) : std::nullopt);
                 });
}

void
PeerViewClient::FetchConfiguration(const std::string& aAddress,
                                   Callback<SharedConfiguration> aCallback)
{
  Fetch(aAddress,
        kConfigurationPath,
        &DecodeSharedConfiguration,
        std::move(aCallback));
}

void
PeerViewClient::FetchUpstreams(const std::string& aAddress,
                               Callback<SharedUpstreams> aCallback)
{
  Fetch(aAddress, kUpstreamsPath, &DecodeSharedUpstreams, std::move(aCallback));
}

void
PeerViewClient::FetchVms(const std::string& aAddress,
                         Callback<VmRecords> aCallback)
{
  Fetch(aAddress, kVmsPath, &DecodeVmRecords, std::move(aCallback));
}

} // namespace peridothoist
