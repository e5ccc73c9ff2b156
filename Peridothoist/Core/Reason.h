/// Why an operation gave no value. Functions that can fail return an empty
/// std::optional (or a null pointer) and leave their last reason here.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Kinds of failure, as callers, operators and exit codes tell them apart.
enum class ReasonCode
{
  None,        ///< No failure.
  Invalid,     ///< The input breaks a stated rule; the text names the field.
  NotFound,    ///< The named thing does not exist.
  Conflict,    ///< Someone else changed it first.
  Refused,     ///< The other side understood and said no.
  Unreachable, ///< No answer, and nothing was sent.
  InDoubt,     ///< Sent, but the answer was lost: it may have taken effect.
  Stale,       ///< Our view is too old to act on.
  Full         ///< A stated limit is reached.
};

/// The name of a code, as logs and JSON carry it.
const char*
ToName(ReasonCode aCode);

/// A typed failure with a text for people.
struct Reason
{
  ReasonCode mCode = ReasonCode::None; ///< What kind of failure.
  std::string mText;                   ///< One sentence, without a newline.

  /// Sets *aReason, when the caller asked for it.
  static void Set(Reason* aReason, ReasonCode aCode, std::string aText);
};

} // namespace peridothoist
