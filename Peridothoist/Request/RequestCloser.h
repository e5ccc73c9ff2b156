/// Sends the one final response of a request, and then ends its attempts,
/// closes its claim and reports the tokens to charge.
///
/// Invariants:
/// - Each request gets exactly one final response, whatever events follow.
/// - A claim is closed as "not run" only when no attempt is open and no byte
///   was sent, so that no part of the request can run after that.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptStateMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Closes requests.
class RequestCloser
{
public:
  RequestCloser(EntryContext& aContext,
                AttemptStateMachine& aAttempts,
                Dispatcher& aDispatcher)
    : mContext(aContext)
    , mAttempts(aAttempts)
    , mDispatcher(aDispatcher)
  {
  }

  /// Sends a finished completion, and stores it as the outcome if a claim is
  /// held. If the caller already has a final response or is gone, only stores
  /// it.
  void RespondWithCompletion(RequestState& aRequest,
                             const std::string& aFinishReason);

  /// The same for the complete response of a plain service.
  void RespondWithPlain(RequestState& aRequest, PlainResult aResult);

  /// Sends the stored outcome of an earlier request with the same key.
  void RespondWithStored(RequestState& aRequest, const StoredOutcome& aOutcome);

  /// Sends a refusal; a started stream is ended with an error event.
  void Refuse(RequestState& aRequest,
              RefusalKind aKind,
              Duration aRetryAfter = Duration(0));

  /// Called when the caller has the final response or is gone. Ends all
  /// attempts except those that may still produce the outcome of a claim.
  void FinishForCaller(RequestState& aRequest);

  /// Closes a request in phase Closing once no attempt and no claim is open.
  void CloseIfNothingIsOpen(RequestState& aRequest);

private:
  void SendCompletion(RequestState& aRequest, const std::string& aFinishReason);
  void SendWhole(RequestState& aRequest, StoredOutcome aOutcome);
  /// Returns whether the attempt has to continue without the caller, because
  /// its outcome may still be stored for the claim.
  bool MayStillProduceOutcome(const RequestState& aRequest,
                              const Attempt& aAttempt) const;
  RequestCommand& AddRecordOutcome(RequestState& aRequest,
                                   OutcomeState aOutcome);

  EntryContext& mContext;
  AttemptStateMachine& mAttempts;
  Dispatcher& mDispatcher;
};

} // namespace peridothoist
