/// Takes each request from its arrival to its one final answer: claim, queue,
/// attempts, retries and stream. Upstreams are left to AttemptMachine, the end
/// to RequestCloser.
///
/// What must hold here: a request that is not idempotent gets another attempt
/// only while no byte of it has left, and runs only while its claim is held.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Request/RequestCloser.h>
#include <Peridothoist/Request/RequestRules.h>
#include <Peridothoist/Request/UpstreamWatch.h>

namespace peridothoist {

/// Decides for requests.
class RequestMachine
  : public AttemptListener
  , public DispatchListener
{
public:
  RequestMachine(EntryContext& aContext,
                 AttemptMachine& aAttempts,
                 Dispatcher& aDispatcher,
                 UpstreamWatch& aWatch);

  // Events
  void OnArrival(Arrival aArrival);
  void OnClaim(RequestState& aRequest, const ClaimAnswer& aAnswer);
  void OnCallerGone(RequestState& aRequest);
  void OnDeadline(RequestState& aRequest);
  void OnHedgeDue(RequestState& aRequest, std::uint32_t aAttempt);
  void OnOutcomeWaitOver(RequestState& aRequest);
  /// Refuses what waits with a digest that is quarantined now.
  void OnQuarantined(const std::string& aDigest);
  /// The last check before content leaves.
  bool MayStillSend(RequestState& aRequest, Attempt& aAttempt);

  // See: AttemptListener
  void OnAttemptFailed(RequestState& aRequest,
                       const Attempt& aAttempt,
                       AttemptFailure aFailure) override;
  void OnNextToken(RequestState& aRequest,
                   Attempt& aAttempt,
                   std::string aText) override;
  void OnCompletion(RequestState& aRequest,
                    const Attempt& aAttempt,
                    const std::string& aFinishReason) override;
  void OnPlainWhole(RequestState& aRequest,
                    const Attempt& aAttempt,
                    PlainAnswer aAnswer) override;
  void OnBrokenAt(RequestState& aRequest,
                  const std::string& aUpstream) override;

  // See: DispatchListener
  bool OnBeforeStart(RequestState& aRequest) override;
  void OnStarted(RequestState& aRequest, std::uint32_t aAttempt) override;

private:
  using Handler = void (RequestMachine::*)(RequestState&);
  using ClaimHandler = void (RequestMachine::*)(RequestState&,
                                                const ClaimAnswer&);

  // Arrival
  void Claim(RequestState& aRequest);

  // Answers of the table service
  void OnClaimInserted(RequestState& aRequest, const ClaimAnswer& aAnswer);
  void OnClaimExists(RequestState& aRequest, const ClaimAnswer& aAnswer);
  void OnClaimOtherBody(RequestState& aRequest, const ClaimAnswer& aAnswer);
  void OnClaimUnreachable(RequestState& aRequest, const ClaimAnswer& aAnswer);
  void OnClaimUnsettled(RequestState& aRequest, const ClaimAnswer& aAnswer);

  // Deadline, by phase
  void Ignore(RequestState& aRequest);
  void RefuseLate(RequestState& aRequest);

  // Retry
  bool MayRetry(const RequestState& aRequest, AttemptFailure aFailure);
  void Retry(RequestState& aRequest,
             const Attempt& aAttempt,
             AttemptFailure aFailure);
  void GiveUp(RequestState& aRequest, AttemptFailure aFailure);

  EntryContext& mContext;
  AttemptMachine& mAttempts;
  Dispatcher& mDispatcher;
  UpstreamWatch& mWatch;
  RequestRules mRules;
  RequestCloser mCloser;
};

} // namespace peridothoist
