/// Errors as callers get them: status, headers and JSON body, always with the
/// verdict on whether the request may have run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// Errors that are found before a request reaches the core: none has run.
enum class IntakeError
{
  BadRequest,      ///< Unreadable; the message names the field.
  Unauthorized,    ///< No key, or not a good one.
  PoolNotAllowed,  ///< The workspace may not use the route.
  NoRoute,         ///< No such path, method or model.
  BodyTooLarge,    ///< Over the workspace's limit.
  RateLimited,     ///< Over the workspace's allowance.
  NeverAffordable, ///< Larger than the workspace's whole burst.
  ViewStale,       ///< This VM can't tell what holds now.
  NoShareYet       ///< This VM just started and got no allowance yet.
};

/// The name of an error, as JSON bodies and metrics carry it.
const char*
ToName(IntakeError aError);

/// One error answer.
struct ErrorAnswer
{
  int mStatus = 500;
  std::string mType;
  std::string mMessage;
  RunVerdict mVerdict = RunVerdict::MayHaveRun;
  Duration mRetryAfter{ 0 }; ///< 0: coming back does not help.

  /// An error found at intake; its verdict is "not run".
  static ErrorAnswer FromIntake(IntakeError aError,
                                std::string aMessage,
                                Duration aRetryAfter);

  /// A refusal of the core.
  static ErrorAnswer FromRefusal(const Refusal& aRefusal);

  /// The JSON body.
  std::string Body() const;

  /// Content-Type, Peridothoist-Run and, where it helps, Retry-After.
  HttpHeaders Headers() const;

  /// Answers aExchange with it.
  void Send(HttpExchange& aExchange) const;
};

} // namespace peridothoist
