/// The reason why an operation failed. Functions that can fail return nullopt,
/// null or false and store the reason in a Reason.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Kinds of failure that callers, operators and exit codes distinguish.
enum class ReasonCode
{
  None,        ///< No failure.
  Invalid,     ///< The input violates a rule; the text names the field.
  NotFound,    ///< The object does not exist.
  Conflict,    ///< The object was changed by someone else first.
  Refused,     ///< The other side understood the request and refused it.
  Unreachable, ///< There was no response, and nothing was sent.
  InDoubt,     ///< Sent without a response: it may have taken effect.
  Stale,       ///< The view is too old to act on.
  Full         ///< A limit is reached.
};

/// Returns the name of a code in logs and JSON.
const char*
ToName(ReasonCode aCode);

/// A failure: its kind and a text for people.
struct Reason
{
  ReasonCode mCode = ReasonCode::None; ///< Kind of failure.
  std::string mText;                   ///< One sentence, without a newline.

  /// Sets *aReason unless aReason is null.
  static void Set(Reason* aReason, ReasonCode aCode, std::string aText);
};

} // namespace peridothoist
