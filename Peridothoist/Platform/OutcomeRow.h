/// Table rows of requests that must not run twice: keys, states and values.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>

namespace peridothoist {

/// State of a request according to its row.
enum class OutcomeRowState
{
  Claimed,    ///< An entry runs or will run it, or has crashed since.
  NotRun,     ///< It was never sent; a retry may take over the row.
  MayHaveRun, ///< In doubt until an operator settles it.
  Done,       ///< The outcome is stored.
  Settled     ///< An operator confirmed that it ran and gave a reason.
};

/// Converts a state to its name in the row's value and back.
const char*
ToName(OutcomeRowState aState);
std::optional<OutcomeRowState>
OutcomeRowStateFromName(std::string_view aName);

/// The value of one row.
struct OutcomeRow
{
  OutcomeRowState mState = OutcomeRowState::Claimed;
  std::string mRequestDigest;   ///< Digest of the request body.
  std::string mAttemptId;       ///< Identifies the claim: `INSTANCE/REQUEST`.
  std::uint64_t mWrittenAt = 0; ///< Unix time in seconds, for retention.
  std::optional<StoredOutcome>
    mStoredOutcome;        ///< Set in states Done and Settled.
  std::string mObjectName; ///< Object with the stored body; empty: in the row.
  std::string mOperator;   ///< Settled: name of the operator.
  std::string mReason;     ///< Settled: the operator's reason.
};

/// Bounds of the key range of all outcome rows; the end is exclusive.
constexpr const char* kOutcomeRowsBegin = "outcome/";
constexpr const char* kOutcomeRowsEnd = "outcome0";

/// Returns the key of a request's row. The caller's idempotency key is included
/// as a digest only.
std::string
OutcomeRowKey(const std::string& aWorkspace,
              const std::string& aIdempotencyKey);

std::string
EncodeOutcomeRow(const OutcomeRow& aRow);

/// Returns nullopt if the text is not a valid row value.
std::optional<OutcomeRow>
DecodeOutcomeRow(std::string_view aText);

/// Returns whether a body can be stored in a row: it is short and valid UTF-8.
bool
FitsOutcomeRow(const std::string& aBody);

} // namespace peridothoist
