/// What upstreams speak. The seam behind which a deployment's headers and
/// calls stand.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Relay/RelayCommand.h>
#include <Peridothoist/Relay/UpstreamRoster.h>
#include <Peridothoist/Shell/HttpClient.h>

namespace peridothoist {

/// An answer's head as far as it matters to decisions.
struct UpstreamHead
{
  bool mNotRun = false;  ///< The request has not run there and never will.
  bool mOther = false;   ///< Another upstream has the address.
  bool mForeign = false; ///< It names another request.
  bool mSound = false;   ///< It may go to the caller, see RelayCallEnd::mSound.
  RelayAnswer mAnswer;   ///< Without its body.
  std::optional<StatedLoad> mLoad;
};

/// Makes calls and reads answers.
class UpstreamProtocol
{
public:
  virtual ~UpstreamProtocol() = default;

  /// The call for a StartCall command.
  virtual HttpCall MakeCall(const RelayCommand& aCommand,
                            const HttpRequest& aRequest) const = 0;

  /// The head of the answer to such a call.
  virtual UpstreamHead ReadHead(const HttpRequest& aRequest,
                                int aStatus,
                                const HttpHeaders& aHeaders) const = 0;

  /// The name of a prefill's result; empty when the body holds none.
  virtual std::string ReadHandle(const std::string& aBody) const = 0;

  /// The name of a reservation; empty when the body holds none.
  virtual std::string ReadReservation(const std::string& aBody) const = 0;

  /// The call that orders an engine to a stage. aHolder: who orders; aFence:
  /// higher than that of any order to it before.
  virtual HttpCall MakeStageOrder(const RelayUpstream& aEngine,
                                  RelayStage aStage,
                                  const std::string& aHolder,
                                  std::uint64_t aFence) const = 0;

  /// The call for a ReleaseHandle or ReleaseReservation command.
  virtual HttpCall MakeRelease(const RelayCommand& aCommand) const = 0;
};

} // namespace peridothoist
