#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/PeerViews.h>

#include <charconv>

namespace peridothoist {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

constexpr const char* kConfigurationPath = "/view/configuration";
constexpr const char* kUpstreamsPath = "/view/upstreams";
constexpr const char* kVmsPath = "/view/vms";

constexpr const char* kConfigurationChangePath = "/view/configuration/change";
constexpr const char* kBaseParameter = "base";

/// Peers are near; a VM that gets no response soon reads the store. A response
/// that goes on may take as long as its bytes need on a narrow link.
constexpr Duration kConnectTimeout = 300ms;
constexpr Duration kStallTimeout = 800ms;
constexpr Duration kTotalTimeout = 5s;

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

/// Returns the digest of the rows that a reader holds; 0: none that is valid.
std::uint64_t
BaseOf(const HttpRequest& aRequest)
{
  const auto it = aRequest.mQuery.find(kBaseParameter);
  std::uint64_t digest = 0;
  if (it != aRequest.mQuery.end()) {
    const std::string& text = it->second;
    std::from_chars(text.data(), text.data() + text.size(), digest);
  }
  return digest;
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
                    const std::shared_ptr<MemoryBudget>& aMemory,
                    PeerViewSource* aSource,
                    Reason* aReason)
{
  const auto handler =
    [aSource](const HttpRequest& aRequest) -> std::optional<EndpointResponse> {
    if (aRequest.mPath == kConfigurationPath) {
      return MakeResponse(aSource->ShareConfiguration(),
                          &EncodeSharedConfiguration);
    }
    if (aRequest.mPath == kConfigurationChangePath) {
      return MakeResponse(aSource->ShareConfigurationChange(BaseOf(aRequest)),
                          &EncodeConfigurationChange);
    }
    if (aRequest.mPath == kUpstreamsPath) {
      return MakeResponse(aSource->ShareUpstreams(), &EncodeSharedUpstreams);
    }
    if (aRequest.mPath == kVmsPath) {
      return MakeResponse(aSource->ShareVms(), &EncodeVmRecords);
    }
    return std::nullopt;
  };
  return EndpointServer::Create(aReactor, aAddress, aMemory, handler, aReason);
}

template<typename Part>
void
PeerViewClient::Fetch(const std::string& aAddress,
                      const std::string& aPath,
                      std::optional<Part> (*aDecode)(std::string_view aBytes),
                      Callback<Part> aCallback)
{
  HttpCall call;
  call.mUrl = "http://" + aAddress + aPath;
  call.mConnectTimeout = kConnectTimeout;
  call.mTotalTimeout = kTotalTimeout;
  call.mStallTimeout = kStallTimeout;
  call.mSendOnce = true; // A kept connection may have gone silent.
  mClient->Fetch(
    std::move(call),
    [aAddress, aDecode, aCallback, startedAt = Reactor::ReadClock()](
      const HttpCallResult& aResult, const std::string& aBody) {
      Report report{ aAddress,
                     aBody.size(),
                     Reactor::ReadClock() - startedAt,
                     FailureOf(aResult),
                     aResult.mStatus == kNotFound };
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
PeerViewClient::FetchConfigurationChange(
  const std::string& aAddress,
  std::uint64_t aBaseDigest,
  Callback<ConfigurationChange> aCallback)
{
  Fetch(aAddress,
        std::string(kConfigurationChangePath) + '?' + kBaseParameter + '=' +
          std::to_string(aBaseDigest),
        &DecodeConfigurationChange,
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
