/// Provides a RelayStateMachine with a configuration and a policy that tests
/// control.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayStateMachine.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

namespace peridothoist::test {

/// Refuses only when a test sets mRefusal, and counts refunds.
class FakePolicy : public RelayPolicy
{
public:
  // See: RelayPolicy
  std::optional<RefusalKind> CheckRelay(const AdmittedRequest&,
                                        TimePoint) override
  {
    return mRefusal;
  }
  void Refund(const AdmittedRequest&, TimePoint) override { ++mRefunds; }

  std::optional<RefusalKind> mRefusal;
  int mRefunds = 0;
};

/// Drives one machine.
class RelayFixture
{
public:
  RelayFixture()
    : mRandom(7)
    , mMachine(MakeSettings(), &mPolicy, &mRandom)
  {
    auto configuration = std::make_shared<RelayConfiguration>();
    configuration->mVersion = 1;
    RelayService engines;
    engines.mName = "engines";
    engines.mEngines = EngineLimits();
    engines.mEngines->mSlots = 64;
    engines.mEngines->mMemoryTokens = 40000;
    engines.mEngines->mTokensPerEvent = 15;
    configuration->mServices["engines"] = engines;
    RelayService registry;
    registry.mName = "registry";
    configuration->mServices["registry"] = registry;
    mMachine.SetConfiguration(configuration);
  }

  static RelayStateMachineSettings MakeSettings()
  {
    RelayStateMachineSettings settings;
    settings.mZone = "a";
    return settings;
  }

  static RelayUpstream Upstream(const std::string& aId,
                                RelayStage aStage,
                                const std::string& aZone = "a")
  {
    RelayUpstream upstream;
    upstream.mId = aId;
    upstream.mService = aStage == RelayStage::Plain ? "registry" : "engines";
    upstream.mAddress = "10.0.0.1:80";
    upstream.mZone = aZone;
    upstream.mStage = aStage;
    upstream.mSlots = aStage == RelayStage::Plain ? 6 : 64;
    return upstream;
  }

  void List(std::vector<RelayUpstream> aUpstreams)
  {
    RelayCommands out;
    mMachine.OnListRead(std::move(aUpstreams), mNow, out);
    Append(std::move(out));
  }

  static std::shared_ptr<const RelayRoute> Route(RouteKind aKind,
                                                 std::uint32_t aMaxAttempts,
                                                 bool aResumable = false)
  {
    RelayRoute route;
    route.mName = "r";
    route.mKind = aKind;
    route.mMaxAttempts = aMaxAttempts;
    route.mIsResumable = aResumable;
    route.mTimeout = 14s;
    route.mTargetLatency = 900ms;
    return std::make_shared<const RelayRoute>(route);
  }

  /// Passes a new request to the machine; returns its id.
  std::uint64_t Arrive(const std::shared_ptr<const RelayRoute>& aRoute,
                       const std::string& aDigest = "d")
  {
    AdmittedRequest request;
    request.mId = ++mLastId;
    request.mRoute = aRoute;
    const bool stream = aRoute->mKind == RouteKind::Stream;
    request.mService = stream ? "engines" : "registry";
    request.mDigest = aDigest;
    request.mPromptTokens = stream ? 3000 : 0;
    request.mMemoryTokens = stream ? 3200 : 0;
    request.mFinalMemoryTokens = stream ? 4000 : 0;
    request.mArrivedAt = mNow;
    request.mCallerTimeout = aRoute->mTimeout;
    request.mDeadline = mNow + aRoute->mTimeout;
    RelayCommands out;
    mMachine.OnArrival(std::move(request), mNow, out);
    Append(std::move(out));
    return mLastId;
  }

  /// Returns the newest call of a request. Unless aSent is false, its bytes
  /// count as sent.
  RelayCommand Call(std::uint64_t aId, bool aSent = true)
  {
    const auto it = std::find_if(
      mCommands.rbegin(), mCommands.rend(), [&](const RelayCommand& aCommand) {
        return aCommand.mId == aId &&
               aCommand.mKind == RelayCommandKind::StartCall;
      });
    BOOST_REQUIRE(it != mCommands.rend());
    if (aSent) {
      BOOST_REQUIRE(mMachine.MayStillSend(aId, it->mAttempt, mNow));
    }
    return *it;
  }

  void End(const RelayCommand& aCall, RelayCallEnd aEnd)
  {
    RelayCommands out;
    mMachine.OnCallEnd(aCall.mId, aCall.mAttempt, std::move(aEnd), mNow, out);
    Append(std::move(out));
  }

  void Event(const RelayCommand& aCall, std::uint64_t aEventId)
  {
    RelayCommands out;
    RelayEvent event{ aEventId, "id: " + std::to_string(aEventId) + "\n\n" };
    mMachine.OnEvent(aCall.mId, aCall.mAttempt, event, mNow, out);
    Append(std::move(out));
  }

  void Advance(Duration aTime)
  {
    mNow += aTime;
    RelayCommands out;
    mMachine.OnTick(mNow, out);
    Append(std::move(out));
  }

  void Append(RelayCommands aCommands)
  {
    for (RelayCommand& it : aCommands) {
      mCommands.push_back(std::move(it));
    }
  }

  /// Returns the commands since the last call, and forgets them.
  RelayCommands TakeCommands() { return std::exchange(mCommands, {}); }

  std::size_t Count(RelayCommandKind aKind) const
  {
    return static_cast<std::size_t>(
      std::count_if(mCommands.begin(), mCommands.end(), [&](const auto& aIt) {
        return aIt.mKind == aKind;
      }));
  }

  /// Returns the refusal, and checks that it is the only one.
  Refusal OnlyRefusal() const
  {
    const auto it = std::find_if(
      mCommands.begin(), mCommands.end(), [](const RelayCommand& aCommand) {
        return aCommand.mKind == RelayCommandKind::SendRefusal;
      });
    BOOST_REQUIRE(it != mCommands.end());
    BOOST_TEST(Count(RelayCommandKind::SendRefusal) == 1U);
    return *it->mRefusal;
  }

  // Ends of calls
  static RelayCallEnd Responded(int aStatus)
  {
    RelayCallEnd end;
    end.mOutcome = { CallEnd::Whole, true, aStatus };
    end.mIsVerified = true;
    end.mResponse.mStatus = aStatus;
    return end;
  }
  static RelayCallEnd NotRun(int aStatus = 503)
  {
    RelayCallEnd end = Responded(aStatus);
    end.mNotRun = true;
    end.mIsWrongProcess = aStatus == 421;
    return end;
  }
  static RelayCallEnd Broken()
  {
    RelayCallEnd end;
    end.mOutcome = { CallEnd::Broken, true, 0 };
    return end;
  }
  static RelayCallEnd NotConnected()
  {
    RelayCallEnd end;
    end.mOutcome = { CallEnd::NotConnected, false, 0 };
    return end;
  }
  static RelayCallEnd Prefilled(const std::string& aHandle)
  {
    RelayCallEnd end = Responded(200);
    end.mHandle = aHandle;
    return end;
  }

  /// Responses to reservations name no request and carry no seal.
  static RelayCallEnd Reserved(const std::string& aReservation)
  {
    RelayCallEnd end = Responded(200);
    end.mIsVerified = false;
    end.mReservation = aReservation;
    return end;
  }

  TimePoint mNow{ 1h };
  FakePolicy mPolicy;
  Random mRandom;
  RelayStateMachine mMachine;
  RelayCommands mCommands;
  std::uint64_t mLastId = 0;
};

} // namespace peridothoist::test
