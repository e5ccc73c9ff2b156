/// Runs the calls of one attempt: reserve, prefill, import and decode on
/// engines, or one call to a plain service. Deals with upstreams only, not with
/// callers, queues or retries.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Receives the results of attempts. When OnAttemptFailed() is called, the
/// attempt has ended and has released its resources.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;

  virtual void OnAttemptFailed(RequestState& aRequest,
                               const Attempt& aAttempt,
                               AttemptFailure aFailure) = 0;

  /// Called for each token, in order and without duplicates.
  virtual void OnNextToken(RequestState& aRequest,
                           Attempt& aAttempt,
                           std::string aText) = 0;

  /// Called when the completion is finished and the attempt has ended.
  virtual void OnCompletion(RequestState& aRequest,
                            const Attempt& aAttempt,
                            const std::string& aFinishReason) = 0;

  /// Called when a plain service has sent a complete response and the attempt
  /// has ended.
  virtual void OnPlainResponse(RequestState& aRequest,
                               const Attempt& aAttempt,
                               PlainResult aResult) = 0;

  /// Called when an upstream closed a call before its response was complete,
  /// and content of the request may have been sent.
  virtual void OnCallBroken(RequestState& aRequest,
                            const std::string& aUpstream) = 0;
};

/// The upstreams chosen for an attempt.
struct Placement
{
  UpstreamState* mPrefill = nullptr; ///< Null for plain services.
  UpstreamState* mDecode = nullptr;  ///< The decode engine or plain service.
  bool mIsIsolated = false; ///< No other attempt may run on these upstreams.
  bool mIsHedge = false;    ///< A second attempt beside a running one.
};

/// Runs the steps of attempts (see AttemptStep) and releases their resources.
class AttemptStateMachine
{
public:
  explicit AttemptStateMachine(EntryContext& aContext)
    : mContext(aContext)
  {
  }

  /// Sets the listener. Must be called before any other method. Not owned.
  void SetListener(AttemptListener* aListener) { mListener = aListener; }

  /// Starts an attempt and its first call. Returns the attempt's number.
  std::uint32_t Start(RequestState& aRequest, const Placement& aPlacement);

  /// Ends an attempt and releases the resources it may hold on upstreams.
  void End(RequestState& aRequest, std::uint32_t aAttempt);

  /// Ends an attempt whose upstream failed. aCrashed: its process crashed.
  /// Cancels are sent even then, because a crash may be reported only after the
  /// process has restarted and accepted new work.
  void OnUpstreamLost(RequestState& aRequest,
                      std::uint32_t aAttempt,
                      const std::string& aUpstream,
                      bool aCrashed);

  // Results of calls; aAttempt is an open attempt of aRequest.
  void OnReserve(RequestState& aRequest,
                 Attempt& aAttempt,
                 const ReserveResult& aResult);
  void OnPrefill(RequestState& aRequest,
                 Attempt& aAttempt,
                 const PrefillResult& aResult);
  void OnImport(RequestState& aRequest,
                Attempt& aAttempt,
                const ImportResult& aResult);
  void OnToken(RequestState& aRequest,
               Attempt& aAttempt,
               std::uint32_t aIndex,
               std::string aText);
  void OnDecodeResult(RequestState& aRequest,
                      Attempt& aAttempt,
                      const DecodeResult& aResult);
  void OnPlain(RequestState& aRequest, Attempt& aAttempt, PlainResult aResult);

  // Timers
  void OnImportRetry(RequestState& aRequest, Attempt& aAttempt);
  void OnTokenGap(RequestState& aRequest, Attempt& aAttempt);

private:
  using StepStarter = void (AttemptStateMachine::*)(RequestState&, Attempt&);

  void StartStep(RequestState& aRequest, Attempt& aAttempt);
  void StartNextStep(RequestState& aRequest, Attempt& aAttempt);
  void StartReserve(RequestState& aRequest, Attempt& aAttempt);
  void StartPrefill(RequestState& aRequest, Attempt& aAttempt);
  void StartImport(RequestState& aRequest, Attempt& aAttempt);
  void StartDecode(RequestState& aRequest, Attempt& aAttempt);
  void StartPlain(RequestState& aRequest, Attempt& aAttempt);
  void StartNothing(RequestState& aRequest, Attempt& aAttempt);

  /// Returns whether the upstream still accepts new work: it may have started
  /// to leave since it was chosen.
  bool StillAcceptsWork(const AttemptUpstream& aUpstream) const;
  /// Appends the command that starts a call to an upstream.
  RequestCommand& AddCall(RequestCommandKind aKind,
                          RequestState& aRequest,
                          Attempt& aAttempt,
                          AttemptUpstream& aUpstream);
  /// Marks the open call at an upstream as ended.
  void OnCallEnded(RequestState& aRequest,
                   Attempt& aAttempt,
                   AttemptUpstream& aUpstream,
                   const CallResult& aCall);
  /// Releases what the attempt holds on an upstream, by a cancel if needed.
  void ReleaseUpstream(RequestState& aRequest,
                       Attempt& aAttempt,
                       AttemptUpstream& aUpstream);
  /// Removes the attempt's AttemptUsage from the upstream.
  void RemoveUsage(RequestState& aRequest,
                   Attempt& aAttempt,
                   AttemptUpstream& aUpstream);
  /// Records that content of the request may have been sent.
  void MarkMayHaveBeenSent(RequestState& aRequest, Attempt& aAttempt);
  /// Ends the attempt and notifies the listener.
  void Fail(RequestState& aRequest, Attempt& aAttempt, AttemptFailure aFailure);
  /// Ends the attempt because of a failed call. Reports a broken call first.
  void FailAfterCall(RequestState& aRequest,
                     Attempt& aAttempt,
                     const AttemptUpstream& aUpstream,
                     const CallResult& aCall);
  /// Removes an attempt from its request and returns it.
  Attempt TakeAttempt(RequestState& aRequest, std::uint32_t aNumber);
  /// Records that the upstream may execute the request from now on, because a
  /// call with its content is started.
  void SetExecuting(RequestState& aRequest,
                    Attempt& aAttempt,
                    const AttemptUpstream& aUpstream);

  EntryContext& mContext;
  AttemptListener* mListener = nullptr;
};

} // namespace peridothoist
