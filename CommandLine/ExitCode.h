/// Exit codes of peridothoistctl, so that scripts can tell failures apart.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::ctl {

/// How a command ended.
enum class ExitCode
{
  Ok = 0,
  Usage = 1,       ///< The command line is wrong; nothing was sent.
  Refused = 2,     ///< The control process said no.
  Conflict = 3,    ///< Someone else changed it first.
  Unreachable = 4, ///< No control process answered; nothing was done.
  InDoubt = 5      ///< Sent, and no answer came: it may have taken effect.
};

} // namespace peridothoist::ctl
