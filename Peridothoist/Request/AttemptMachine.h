/// Takes one attempt through its calls: reserve, prefill, import and decode
/// at engines, or one call of a plain service. Knows upstreams, and nothing of
/// callers, queues or retries.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Told what comes of attempts. When OnAttemptFailed() is called, the attempt
/// is over and has freed what it held.
class AttemptListener
{
public:
  virtual ~AttemptListener() = default;

  virtual void OnAttemptFailed(RequestState& aRequest,
                               const Attempt& aAttempt,
                               AttemptFailure aFailure) = 0;

  /// The next token in order came.
  virtual void OnNextToken(RequestState& aRequest,
                           Attempt& aAttempt,
                           std::string aText) = 0;

  /// The completion is whole; the attempt is over.
  virtual void OnCompletion(RequestState& aRequest,
                            const Attempt& aAttempt,
                            const std::string& aFinishReason) = 0;

  /// A plain service answered whole; the attempt is over.
  virtual void OnPlainWhole(RequestState& aRequest,
                            const Attempt& aAttempt,
                            PlainAnswer aAnswer) = 0;

  /// A call broke while it ran at this upstream.
  virtual void OnBrokenAt(RequestState& aRequest,
                          const std::string& aUpstream) = 0;
};

/// Where an attempt is to run.
struct Placement
{
  UpstreamState* mPrefill = nullptr; ///< Null for plain services.
  UpstreamState* mDecode = nullptr;  ///< Or the plain service.
  bool mIsolated = false;
  bool mHedge = false;
};

/// Runs attempts.
class AttemptMachine
{
public:
  explicit AttemptMachine(EntryContext& aContext)
    : mContext(aContext)
  {
  }

  /// Must be set before anything else. Not owned.
  void SetListener(AttemptListener* aListener) { mListener = aListener; }

  /// Starts an attempt and its first call. Returns its number.
  std::uint32_t Start(RequestState& aRequest, const Placement& aPlacement);

  /// Ends an attempt, and frees what it may hold.
  void End(RequestState& aRequest, std::uint32_t aAttempt);

  /// Ends an attempt whose upstream is lost. aGone: its process crashed. The
  /// cancels go out all the same: word of a crash may come when the process
  /// runs again and took new work.
  void OnUpstreamLost(RequestState& aRequest,
                      std::uint32_t aAttempt,
                      const std::string& aUpstream,
                      bool aGone);

  // Answers; aAttempt is an open attempt of aRequest.
  void OnReserve(RequestState& aRequest,
                 Attempt& aAttempt,
                 const ReserveAnswer& aAnswer);
  void OnPrefill(RequestState& aRequest,
                 Attempt& aAttempt,
                 const PrefillAnswer& aAnswer);
  void OnImport(RequestState& aRequest,
                Attempt& aAttempt,
                const ImportAnswer& aAnswer);
  void OnToken(RequestState& aRequest,
               Attempt& aAttempt,
               std::uint32_t aIndex,
               std::string aText);
  void OnDecodeEnd(RequestState& aRequest,
                   Attempt& aAttempt,
                   const DecodeEnd& aEnd);
  void OnPlain(RequestState& aRequest, Attempt& aAttempt, PlainAnswer aAnswer);

  // Timers
  void OnImportRetry(RequestState& aRequest, Attempt& aAttempt);
  void OnTokenGap(RequestState& aRequest, Attempt& aAttempt);

private:
  using Begin = void (AttemptMachine::*)(RequestState&, Attempt&);

  void BeginStep(RequestState& aRequest, Attempt& aAttempt);
  void NextStep(RequestState& aRequest, Attempt& aAttempt);
  void BeginReserve(RequestState& aRequest, Attempt& aAttempt);
  void BeginPrefill(RequestState& aRequest, Attempt& aAttempt);
  void BeginImport(RequestState& aRequest, Attempt& aAttempt);
  void BeginDecode(RequestState& aRequest, Attempt& aAttempt);
  void BeginPlain(RequestState& aRequest, Attempt& aAttempt);
  void BeginNothing(RequestState& aRequest, Attempt& aAttempt);

  /// The upstream may have begun to leave since it was chosen.
  bool StillTakesWork(const AttemptPlace& aPlace) const;
  RequestCommand& Call(RequestCommandKind aKind,
                       RequestState& aRequest,
                       Attempt& aAttempt,
                       AttemptPlace& aPlace);
  void Close(RequestState& aRequest,
             Attempt& aAttempt,
             AttemptPlace& aPlace,
             const CallOutcome& aCall);
  void Free(RequestState& aRequest, Attempt& aAttempt, AttemptPlace& aPlace);
  void Leave(RequestState& aRequest, Attempt& aAttempt, AttemptPlace& aPlace);
  void NoteSent(RequestState& aRequest, Attempt& aAttempt);
  void Fail(RequestState& aRequest, Attempt& aAttempt, AttemptFailure aFailure);
  void FailCall(RequestState& aRequest,
                Attempt& aAttempt,
                const AttemptPlace& aPlace,
                const CallOutcome& aCall);
  Attempt Remove(RequestState& aRequest, std::uint32_t aNumber);
  void SetExecuting(RequestState& aRequest,
                    Attempt& aAttempt,
                    const AttemptPlace& aPlace);

  EntryContext& mContext;
  AttemptListener* mListener = nullptr;
};

} // namespace peridothoist
