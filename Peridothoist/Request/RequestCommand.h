/// What the core tells the shell to do.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// Kinds of command. The shell answers the first seven by events.
enum class RequestCommandKind
{
  InsertClaim,   ///< Claim the idempotency key's row. -> OnClaimAnswer
  Reserve,       ///< Reserve decode memory.           -> OnReserveAnswer
  Prefill,       ///< Run the prompt.                  -> OnPrefillAnswer
  Import,        ///< Move the KV cache.               -> OnImportAnswer
  Decode,        ///< Generate.                        -> OnToken*, OnDecodeEnd
  CallPlain,     ///< Call a plain service.            -> OnPlainAnswer
  Cancel,        ///< Free all that this attempt holds on this upstream, and
                 ///< abort its open calls there.      -> OnCancelAnswer
  SendHead,      ///< Start the caller's stream.
  SendToken,     ///< Send one token.
  SendWhole,     ///< Send a whole answer.
  SendRefusal,   ///< Send a refusal.
  EndStream,     ///< End the caller's stream as complete.
  AbortStream,   ///< End the caller's stream by an error event.
  RecordOutcome, ///< Write the claim's row; retried by the shell until the
                 ///< table service takes it. Conditional on the row still
                 ///< being this claim's (mRowVersion, or its token if 0).
  Settle,        ///< Tokens used, for the allowance. Once for each request.
  Forget         ///< The request is over. Last command of a request, except
                 ///< for Cancel.
};

/// The name of a kind, for logs and spans.
const char*
ToName(RequestCommandKind aKind);

/// What a claim's row is to say.
enum class OutcomeState
{
  NotRun,     ///< A resend may run: the row may be taken over.
  MayHaveRun, ///< In doubt: nobody runs it again.
  Done        ///< The outcome is kept.
};

/// The name of a state, as the row carries it.
const char*
ToName(OutcomeState aState);

/// One command. Fields that a kind doesn't name are empty.
struct RequestCommand
{
  RequestCommandKind mKind = RequestCommandKind::Forget;
  std::uint64_t mId = 0;
  std::uint32_t mAttempt = 0; ///< From 1; 0 when no attempt is meant.
  std::string mUpstream;      ///< Name, with commands to an upstream.
  std::string mAddress;       ///< Its "ip:port"; kept when it is removed.

  // Reserve, Prefill, Import, Decode
  std::uint32_t mPieces = 0;     ///< Reserve.
  std::uint32_t mPriority = 0;   ///< As the engines count it: 0 goes first.
  std::string mModel;            ///< Prefill.
  std::string mResumeText;       ///< Prefill: what was generated already.
  std::uint32_t mResumeFrom = 0; ///< Decode: index of the first token wanted.
  std::uint32_t mMaxTokens = 0;  ///< Decode: of the whole answer.
  std::string mSourceAddress;    ///< Import: the prefill engine's "ip:port".
  std::string mKv;               ///< Import.

  // SendToken, SendWhole, RecordOutcome, SendRefusal, AbortStream
  std::uint32_t mTokenIndex = 0; ///< SendToken.
  std::string mText;             ///< SendToken; SendWhole of a completion.
  bool mCompletion = false;      ///< SendWhole: mText is a model's completion.
  std::string mFinishReason;     ///< SendWhole of a completion, EndStream.
  int mStatus = 0;               ///< SendWhole and RecordOutcome.
  std::string mBody;             ///< SendWhole and RecordOutcome.
  std::map<std::string, std::string> mHeaders; ///< SendWhole, RecordOutcome.
  std::optional<Refusal> mRefusal;             ///< SendRefusal, AbortStream.

  // InsertClaim, RecordOutcome
  std::string mIdempotencyKey;
  std::string mBodyDigest;
  std::uint64_t mRowVersion = 0; ///< RecordOutcome; 0: not known.
  OutcomeState mOutcome = OutcomeState::MayHaveRun;

  // Settle, EndStream, SendWhole of a completion
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mTokens = 0; ///< Generated tokens.
};

using RequestCommands = std::vector<RequestCommand>;

} // namespace peridothoist
