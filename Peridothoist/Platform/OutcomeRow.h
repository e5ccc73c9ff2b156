/// The rows of requests that must not repeat: their keys, states and values.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>

namespace peridothoist {

/// What a row says of its request.
enum class OutcomeRowState
{
  Claimed,    ///< An entry is about to run it, runs it, or died with it.
  NotRun,     ///< It never left: a resend may take the row over.
  MayHaveRun, ///< In doubt until an operator settles it.
  Done,       ///< The outcome is kept.
  Settled     ///< An operator says that it ran; the reason is kept.
};

/// The name of a state, as the row carries it, and back.
const char*
ToName(OutcomeRowState aState);
std::optional<OutcomeRowState>
OutcomeRowStateFromName(std::string_view aName);

/// One row's value.
struct OutcomeRow
{
  OutcomeRowState mState = OutcomeRowState::Claimed;
  std::string mBodyDigest;          ///< Of the request's body.
  std::string mAttempt;             ///< Names the claim: `INSTANCE/REQUEST`.
  std::uint64_t mWrittenAt = 0;     ///< Unix time in seconds, for retention.
  std::optional<KeptOutcome> mKept; ///< With Done and Settled.
  std::string mObject;              ///< Holds the kept body, when not empty.
  std::string mOperator;            ///< Settled by.
  std::string mReason;              ///< Settled because.
};

/// Where all outcome rows start and end.
constexpr const char* kOutcomeRowsFrom = "outcome/";
constexpr const char* kOutcomeRowsTo = "outcome0";

/// The key of a request's row: the caller's idempotency key goes in as a
/// digest only.
std::string
OutcomeRowKey(const std::string& aWorkspace,
              const std::string& aIdempotencyKey);

std::string
EncodeOutcomeRow(const OutcomeRow& aRow);

/// Empty when the text isn't a row's value.
std::optional<OutcomeRow>
DecodeOutcomeRow(std::string_view aText);

/// Whether a body can be kept within a row: it is short, and it is text.
bool
FitsOutcomeRow(const std::string& aBody);

} // namespace peridothoist
