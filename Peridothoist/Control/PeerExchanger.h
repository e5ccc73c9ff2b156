/// Exchanges views with other control processes: a few a second, more while
/// something is urgent, and at once when the view changed.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Peers/PeerClient.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Asks peers and answers those that ask.
class PeerExchanger
{
public:
  PeerExchanger(Reactor& aReactor,
                PeerClient& aPeers,
                ControlState& aState,
                std::uint64_t aSeed);
  ~PeerExchanger();
  PeerExchanger(const PeerExchanger&) = delete;
  PeerExchanger& operator=(const PeerExchanger&) = delete;

  /// Asks up to aCount peers now.
  void AskNow(std::size_t aCount);

  /// Calls AskNow() when its interval is over.
  void OnTick(bool aUrgent);

  /// The answer to a peer that asks.
  peer::ExchangeReply Answer(const peer::ExchangeRequest& aRequest);

private:
  void Ask(const Member& aPeer);
  void OnReply(const std::optional<peer::ExchangeReply>& aReply,
               TimePoint aSent);
  void AddMembers(google::protobuf::RepeatedPtrField<peer::Member>& aMessages,
                  const std::vector<Member>& aMembers);
  template<typename Message>
  void FillCommon(Message& aMessage);
  template<typename Message>
  void TakeCommon(const Message& aMessage);

  Reactor& mReactor;
  PeerClient& mPeers;
  ControlState& mState;
  Random mRandom;
  std::optional<TimePoint> mLastAsked;
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
