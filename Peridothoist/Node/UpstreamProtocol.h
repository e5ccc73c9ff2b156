/// Interface to a deployment's protocol towards upstreams: its headers and
/// calls.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/UpstreamLimiter.h>
#include <Peridothoist/Relay/UpstreamList.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// The fields of an upstream's response head that the relay depends on.
struct UpstreamResponseHead
{
  bool mNotRun = false; ///< The request has not run there and never will.
  bool mIsWrongProcess = false;    ///< Another upstream has this address now.
  bool mIsForOtherRequest = false; ///< It has the id of another request.
  bool mIsVerified = false;        ///< See RelayCallEnd::mIsVerified.
  RelayResponse mResponse;         ///< Without the body.
  std::optional<StatedLoad> mLoad; ///< If stated.
  /// Nullopt: it can't be told whether the upstream has a limit.
  std::optional<StatedLimit> mLimit;
  bool mStatesLeaving = false;            ///< It gets no new requests any more.
  std::optional<Duration> mColdRemaining; ///< If stated; 0: it is not cold.
};

/// Builds calls to upstreams and parses their responses.
class UpstreamProtocol
{
public:
  virtual ~UpstreamProtocol() = default;

  /// Returns the call for a StartCall command.
  virtual HttpCall MakeCall(const RelayCommand& aCommand,
                            const HttpRequest& aRequest) const = 0;

  /// Parses the head of the response to such a call.
  virtual UpstreamResponseHead ParseResponseHead(
    const HttpRequest& aRequest,
    int aStatus,
    const HttpHeaders& aHeaders) const = 0;

  /// Returns the handle of a prefill result, or "" if the body has none.
  virtual std::string ParseHandle(const std::string& aBody) const = 0;

  /// Returns the id of a reservation, or "" if the body has none.
  virtual std::string ParseReservation(const std::string& aBody) const = 0;

  /// Returns the call that orders an engine to a stage. aHolder: name of the VM
  /// that sends the order. aFencingNumber: exceeds that of any earlier order to
  /// the engine.
  virtual HttpCall MakeStageOrder(const RelayUpstream& aEngine,
                                  RelayStage aStage,
                                  const std::string& aHolder,
                                  std::uint64_t aFencingNumber) const = 0;

  /// Returns the call for a CheckUpstream command. It is answered by the
  /// upstream without running anything.
  virtual HttpCall MakeCheck(const RelayCommand& aCommand) const = 0;

  /// Returns whether a response with this status came from another process than
  /// the intended one.
  virtual bool IsWrongProcess(int aStatus) const = 0;

  /// Returns the call for a ReleaseHandle or ReleaseReservation command.
  virtual HttpCall MakeRelease(const RelayCommand& aCommand) const = 0;
};

} // namespace peridothoist
