/// Lets VMs use each other's reads of the platform's store. A VM sends a peer a
/// query with a timestamp of its own clock; the peer responds with the
/// timestamp, the version that it holds and the time since that was confirmed.
/// The peer responds after the timestamp was taken, whatever the network delay,
/// so its version was confirmed no earlier than the timestamp minus the stated
/// age. A VM that was paused, or a response that was delayed, can't make
/// a view appear more recent than it is.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/ConfirmedView.h>
#include <Peridothoist/Relay/UpstreamList.h>

namespace peridothoist {

/// A query for the age of a peer's view.
struct ViewQuery
{
  std::uint64_t mStamp = 0;  ///< The sender's clock; opaque to the peer.
  std::string mReplyAddress; ///< Where to send the response, "ip:port".
};

/// The response to a query.
struct ViewResponse
{
  std::uint64_t mStamp = 0;        ///< From the query.
  std::uint64_t mVersion = 0;      ///< Of the peer's configuration.
  Duration mConfigurationAge{ 0 }; ///< Time since it was confirmed.
  std::uint64_t mListDigest = 0;   ///< Digest of the peer's upstream list.
  Duration mListAge{ 0 };          ///< Time since that was confirmed.
  std::uint64_t mVmDigest = 0; ///< Digest of the registered VMs; 0: not known.
  /// Where the peer's view can be read, "ip:port"; empty: nowhere.
  std::string mViewAddress;
  /// Digest of the evacuated zones; 0: not stated by the peer's build.
  std::uint64_t mEvacuationDigest = 0;
  /// Of the store, as far as the peer knows; 0: not stated by the peer's build
  /// or by the store.
  std::uint64_t mStoreEra = 0;
};

/// States which reads of the store a response makes necessary.
struct ViewExchangeResult
{
  /// The peer has a newer version, or a later state of the evacuated zones.
  bool mShouldReadConfiguration = false;
  bool mShouldReadUpstreams = false; ///< The peer has a newer list.
};

/// Confirms this VM's view by its peers' responses.
class ViewExchange
{
public:
  /// None of the pointers is owned.
  ViewExchange(ConfirmedView* aView, UpstreamList* aUpstreamList);

  /// Returns the timestamp for a query that is sent now.
  static std::uint64_t TimestampOf(TimePoint aNow);

  /// Returns this VM's response, or nullopt while its view is incomplete.
  std::optional<ViewResponse> MakeResponse(const ViewQuery& aQuery,
                                           TimePoint aNow) const;

  /// Confirms this VM's view by a peer's response.
  ViewExchangeResult OnPeerResponse(const ViewResponse& aResponse,
                                    TimePoint aNow);

private:
  bool ConfirmConfiguration(const ViewResponse& aResponse, TimePoint aAsOf);

  ConfirmedView* mView;
  UpstreamList* mUpstreamList;
};

} // namespace peridothoist
