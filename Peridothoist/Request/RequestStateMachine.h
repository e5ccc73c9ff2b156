/// Handles each request from its arrival to its one final response: claim,
/// queue, attempts, retries and stream. AttemptStateMachine handles the calls
/// to upstreams, RequestCloser the final response.
///
/// Invariant: a request that is not idempotent gets another attempt only while
/// no byte of it was sent, and, if it has an idempotency key, runs only while
/// its claim is held.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptStateMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>
#include <Peridothoist/Request/RequestCloser.h>
#include <Peridothoist/Request/RequestPolicy.h>
#include <Peridothoist/Request/UpstreamHealthTracker.h>

namespace peridothoist {

/// Changes the phase of requests (RequestPhase) on events and results.
class RequestStateMachine
  : public AttemptListener
  , public DispatchListener
{
public:
  RequestStateMachine(EntryContext& aContext,
                      AttemptStateMachine& aAttempts,
                      Dispatcher& aDispatcher,
                      UpstreamHealthTracker& aUpstreamHealth);

  // Events
  void OnArrival(Arrival aArrival);
  void OnClaim(RequestState& aRequest, const ClaimResult& aResult);
  void OnCallerDisconnected(RequestState& aRequest);
  void OnDeadline(RequestState& aRequest);
  void OnHedgeDue(RequestState& aRequest, std::uint32_t aAttempt);
  void OnOutcomeTimeout(RequestState& aRequest);
  /// Refuses the waiting requests with a digest that is quarantined now.
  void OnQuarantined(const std::string& aDigest);
  /// The last check before content is sent. Returns false if it must not be
  /// sent; otherwise the request is regarded as sent.
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
  void OnPlainResponse(RequestState& aRequest,
                       const Attempt& aAttempt,
                       PlainResult aResult) override;
  void OnCallBroken(RequestState& aRequest,
                    const std::string& aUpstream) override;

  // See: DispatchListener
  bool OnBeforeStart(RequestState& aRequest) override;
  void OnStarted(RequestState& aRequest, std::uint32_t aAttempt) override;

private:
  using Handler = void (RequestStateMachine::*)(RequestState&);
  using ClaimHandler = void (RequestStateMachine::*)(RequestState&,
                                                     const ClaimResult&);

  // Arrival
  void StartClaim(RequestState& aRequest);

  // Results of the claim
  void OnClaimInserted(RequestState& aRequest, const ClaimResult& aResult);
  void OnClaimExists(RequestState& aRequest, const ClaimResult& aResult);
  void OnClaimOtherBody(RequestState& aRequest, const ClaimResult& aResult);
  void OnClaimUnreachable(RequestState& aRequest, const ClaimResult& aResult);
  void OnClaimIndeterminate(RequestState& aRequest, const ClaimResult& aResult);

  // Handlers of the deadline, by phase
  void Ignore(RequestState& aRequest);
  void RefusePastDeadline(RequestState& aRequest);

  // Retry
  bool MayRetry(const RequestState& aRequest, AttemptFailure aFailure);
  void Retry(RequestState& aRequest,
             const Attempt& aAttempt,
             AttemptFailure aFailure);
  void RefuseAfterFailure(RequestState& aRequest, AttemptFailure aFailure);

  EntryContext& mContext;
  AttemptStateMachine& mAttempts;
  Dispatcher& mDispatcher;
  UpstreamHealthTracker& mUpstreamHealth;
  RequestPolicy mRequestPolicy;
  RequestCloser mCloser;
};

} // namespace peridothoist
