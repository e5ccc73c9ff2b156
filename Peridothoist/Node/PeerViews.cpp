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

/// Returns why a read failed; empty if it did not.
std::string
FailureOf(const HttpCallResult& aResult)
{
  if (aResult.mFailure != CallFailure::None) {
    return ToName(aResult.mFailure);
  }
  return aResult.mStatus == kOk ? ""
                                : "status " + std::to_string(aResult.mStatus);
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
  mClient->Fetch(
    std::move(call),
    [aAddress, aDecode, aCallback, startedAt = Reactor::ReadClock()](
      const HttpCallResult& aResult, const std::string& aBody) {
      Report report{ aAddress,
                     aBody.size(),
                     Reactor::ReadClock() - startedAt,
                     FailureOf(aResult) };
      std::optional<Part> part;
      if (report.mFailure.empty()) {
        part = aDecode(aBody);
        report.mFailure = part ? "" : "unreadable";
      }
      aCallback(std::move(part), report);
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
