/// Exchanges views and member state with other control processes: periodically,
/// more often while something is urgent, and immediately when the view changes.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Sends exchange requests to peers and handles the requests of peers.
class ControlGossip
{
public:
  ControlGossip(Reactor& aReactor,
                PeerClient& aPeers,
                ControlState& aState,
                std::uint64_t aSeed);
  ~ControlGossip();
  ControlGossip(const ControlGossip&) = delete;
  ControlGossip& operator=(const ControlGossip&) = delete;

  /// Starts exchanges with up to aCount peers.
  void ExchangeNow(std::size_t aCount);

  /// Calls ExchangeNow() when the interval has elapsed.
  void OnTick(bool aIsUrgent);

  /// Merges the request of a peer and returns the reply.
  peer::ExchangeReply HandleRequest(const peer::ExchangeRequest& aRequest);

private:
  void StartExchange(const Member& aPeer);
  void OnReply(const std::optional<peer::ExchangeReply>& aReply,
               TimePoint aSent);
  /// Adds members other than this VM to a message. If there are too many, adds
  /// a consecutive range that starts at a random position.
  void AddMembers(google::protobuf::RepeatedPtrField<peer::Member>& aMessages,
                  const std::vector<Member>& aMembers);
  /// Sets the fields that requests and replies have in common.
  template<typename Message>
  void FillCommon(Message& aMessage);
  /// Merges suspensions and quarantine entries of a request or reply.
  template<typename Message>
  void MergeCommon(const Message& aMessage);

  Reactor& mReactor;
  PeerClient& mPeers;
  ControlState& mState;
  Random mRandom;
  std::optional<TimePoint> mLastExchangeTime;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
