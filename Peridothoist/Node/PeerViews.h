/// Lets VMs read the configuration, the upstreams and the registered VMs from
/// each other instead of from the store, so that the load on the store does not
/// grow with the fleet. One endpoint for each part, on the address that
/// receives gossip, but over TCP.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/EndpointServer.h>
#include <Peridothoist/Node/ViewCodec.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// Supplies the parts of this VM's view. Each returns nullopt if it has none.
class PeerViewSource
{
public:
  virtual ~PeerViewSource() = default;
  virtual std::optional<SharedConfiguration> ShareConfiguration() = 0;
  /// aBaseDigest: of the rows that the reader holds; 0: none.
  virtual std::optional<ConfigurationChange> ShareConfigurationChange(
    std::uint64_t aBaseDigest) = 0;
  virtual std::optional<SharedUpstreams> ShareUpstreams() = 0;
  virtual std::optional<VmRecords> ShareVms() = 0;
};

/// Starts the endpoints on aAddress, "ip:port". Returns nullptr and sets
/// aReason if it cannot be listened on. aSource is not owned and outlives the
/// server.
std::unique_ptr<EndpointServer>
StartPeerViewServer(Reactor& aReactor,
                    const std::string& aAddress,
                    const std::shared_ptr<MemoryBudget>& aMemory,
                    PeerViewSource* aSource,
                    Reason* aReason);

/// Reads parts of other VMs' views.
class PeerViewClient
{
public:
  /// aClient is not owned.
  explicit PeerViewClient(HttpClient* aClient)
    : mClient(aClient)
  {
  }

  /// How a read went, for logs and metrics.
  struct Report
  {
    std::string mPeer;       ///< "ip:port".
    std::size_t mBytes = 0;  ///< Received, also of a read that failed.
    Duration mDuration{ 0 }; ///< From the start of the read to its end.
    std::string mFailure;    ///< Empty if the part was received.
    /// The peer's build does not serve this part.
    bool mIsUnknownPart = false;
  };

  /// Receives the part, or nullopt if the peer did not send it.
  template<typename Part>
  using Callback =
    std::function<void(std::optional<Part> aPart, const Report& aReport)>;

  /// The rows of the configuration as they are; from VMs of builds that know no
  /// changes.
  void FetchConfiguration(const std::string& aAddress,
                          Callback<SharedConfiguration> aCallback);
  /// What has changed since the rows of aBaseDigest; 0: the reader has none.
  void FetchConfigurationChange(const std::string& aAddress,
                                std::uint64_t aBaseDigest,
                                Callback<ConfigurationChange> aCallback);
  void FetchUpstreams(const std::string& aAddress,
                      Callback<SharedUpstreams> aCallback);
  void FetchVms(const std::string& aAddress, Callback<VmRecords> aCallback);

private:
  template<typename Part>
  void Fetch(const std::string& aAddress,
             const std::string& aPath,
             std::optional<Part> (*aDecode)(std::string_view aBytes),
             Callback<Part> aCallback);

  HttpClient* mClient;
};

} // namespace peridothoist
