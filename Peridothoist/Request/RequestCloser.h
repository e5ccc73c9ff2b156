/// Gives a request its one final answer, and closes what it leaves open: its
/// attempts, its claim and its place in the books.
///
/// What must hold here:
/// - one final answer for each request, whatever comes later;
/// - a claim is closed as "not run" only when no attempt is open and no byte
///   has left, so that nothing of it can run after that.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/AttemptMachine.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Ends requests.
class RequestCloser
{
public:
  RequestCloser(EntryContext& aContext,
                AttemptMachine& aAttempts,
                Dispatcher& aDispatcher)
    : mContext(aContext)
    , mAttempts(aAttempts)
    , mDispatcher(aDispatcher)
  {
  }

  /// Answers by a whole completion, and keeps it when a claim is held. For a
  /// request whose caller has its answer or is gone, only the latter.
  void AnswerCompletion(RequestState& aRequest,
                        const std::string& aFinishReason);

  /// The same for a plain service's whole answer.
  void AnswerPlain(RequestState& aRequest, PlainAnswer aAnswer);

  /// Answers by the outcome of an earlier request with the same key.
  void AnswerKept(RequestState& aRequest, const KeptOutcome& aOutcome);

  /// Answers by a refusal; a started stream ends by an error event.
  void Refuse(RequestState& aRequest,
              RefusalKind aKind,
              Duration aRetryAfter = Duration(0));

  /// Its caller has the final answer or is gone: ends what is still open, but
  /// for what may yet bring the outcome of a claim.
  void Conclude(RequestState& aRequest);

  /// Closes a concluded request when nothing of it is open any more.
  void CloseIfNothingIsOpen(RequestState& aRequest);

private:
  void SendCompletion(RequestState& aRequest, const std::string& aFinishReason);
  void SendWhole(RequestState& aRequest, KeptOutcome aOutcome);
  bool AwaitsOutcome(const RequestState& aRequest,
                     const Attempt& aAttempt) const;
  RequestCommand& Record(RequestState& aRequest, OutcomeState aOutcome);

  EntryContext& mContext;
  AttemptMachine& mAttempts;
  Dispatcher& mDispatcher;
};

} // namespace peridothoist
