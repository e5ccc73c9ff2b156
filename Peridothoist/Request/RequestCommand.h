/// Commands from the core to the shell.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// Kinds of command. The shell reports the results of the first seven by
/// calling the named methods of EntryCore.
enum class RequestCommandKind
{
  InsertClaim, ///< Claim the idempotency key's row. -> OnClaimResult
  Reserve,     ///< Reserve decode memory.           -> OnReserveResult
  Prefill,     ///< Run the prompt.                  -> OnPrefillResult
  Import,      ///< Transfer the KV cache.           -> OnImportResult
  Decode,      ///< Generate tokens.                 -> OnToken*, OnDecodeResult
  CallPlain,   ///< Call a plain service.            -> OnPlainResult
  Cancel,      ///< Release all resources of the attempt on the upstream and
               ///< abort its open calls there.      -> OnCancelResult
  SendHead,    ///< Start the caller's stream.
  SendToken,   ///< Send one token.
  SendWhole,   ///< Send a complete response.
  SendRefusal, ///< Send a refusal.
  EndStream,   ///< End the caller's stream as complete.
  AbortStream, ///< End the caller's stream with an error event.
  RecordOutcome, ///< Write the claim row; the shell retries until the table
                 ///< service accepts it. Conditional on the row still
                 ///< belonging to this claim (compared by mRowVersion, or by
                 ///< the claim's token if that is 0).
  Settle,        ///< Correct the charge to the allowance by the tokens used.
                 ///< Sent once for each request.
  Forget         ///< The request has ended. Last command of a request other
                 ///< than Cancel.
};

/// Returns the name of a kind as used in logs and trace spans.
const char*
ToName(RequestCommandKind aKind);

/// State of the outcome in a claim row.
enum class OutcomeState
{
  NotRun,     ///< A retry may run and may take over the row.
  MayHaveRun, ///< Unknown whether it ran; it is never run again.
  Done        ///< The row holds the outcome.
};

/// Returns the name of a state as stored in the row.
const char*
ToName(OutcomeState aState);

/// One command. Fields that the kind does not use are empty.
struct RequestCommand
{
  RequestCommandKind mKind = RequestCommandKind::Forget;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0; ///< From 1; 0 if it concerns no attempt.
  std::string mUpstream;      ///< Name of the upstream, if sent to one.
  std::string mAddress;       ///< Its "ip:port"; valid after its removal, too.

  // Reserve, Prefill, Import, Decode
  std::uint32_t mPieces = 0;     ///< Reserve.
  std::uint32_t mPriority = 0;   ///< As defined by the engines: 0 is first.
  std::string mModel;            ///< Prefill.
  std::string mResumeText;       ///< Prefill: text generated so far.
  std::uint32_t mResumeFrom = 0; ///< Decode: index of the first token wanted.
  std::uint32_t mMaxTokens = 0;  ///< Decode: limit for the whole completion.
  std::string mSourceAddress;    ///< Import: the prefill engine's "ip:port".
  std::string mKvHandle;         ///< Import: handle of the prefill result.

  // SendToken, SendWhole, RecordOutcome, SendRefusal, AbortStream
  std::uint32_t mTokenIndex = 0; ///< SendToken.
  std::string mText;             ///< SendToken; a whole completion.
  bool mIsCompletion = false;    ///< SendWhole and RecordOutcome: mText is a
                                 ///< whole completion, mBody is empty.
  std::string mFinishReason;     ///< A whole completion; EndStream.
  int mStatus = 0;               ///< SendWhole and RecordOutcome.
  std::string mBody;             ///< SendWhole and RecordOutcome.
  std::map<std::string, std::string> mHeaders; ///< SendWhole, RecordOutcome.
  std::optional<Refusal> mRefusal;             ///< SendRefusal, AbortStream.

  // InsertClaim, RecordOutcome
  std::string mIdempotencyKey;
  std::string mRequestDigest;
  std::uint64_t mRowVersion = 0; ///< RecordOutcome; 0: not known.
  OutcomeState mOutcome = OutcomeState::MayHaveRun;

  // Settle, EndStream, and SendWhole and RecordOutcome of a completion
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mTokens = 0; ///< Generated tokens.
};

using RequestCommands = std::vector<RequestCommand>;

} // namespace peridothoist
