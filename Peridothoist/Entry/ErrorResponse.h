/// Error responses to callers: status, headers and JSON body. Each contains
/// the verdict whether the request may have run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>
#include <Peridothoist/Shell/HttpServer.h>

namespace peridothoist {

/// Errors found before a request reaches the core. Such a request has not run.
enum class RequestError
{
  BadRequest,      ///< The body is invalid; the message names the field.
  Unauthorized,    ///< The API key is missing or invalid.
  PoolNotAllowed,  ///< The workspace may not use the pools of the route.
  NoRoute,         ///< There is no route for the path, method or model.
  BodyTooLarge,    ///< The body exceeds the workspace's limit.
  RateLimited,     ///< The workspace's allowance is used up.
  NeverAffordable, ///< The request exceeds the workspace's whole burst.
  ViewStale,       ///< This VM's view is too old to act on.
  NoShareYet       ///< This VM has just started and has no share yet.
};

/// Returns the name of an error as used in JSON bodies and metrics.
const char*
ToName(RequestError aError);

/// One error response.
struct ErrorResponse
{
  int mStatus = 500;
  std::string mType;
  std::string mMessage;
  RunVerdict mVerdict = RunVerdict::MayHaveRun;
  Duration mRetryAfter{ 0 }; ///< 0: a retry does not help.

  /// Makes the response for an error found before the request reached the
  /// core. Its verdict is "not run".
  static ErrorResponse FromRequestError(RequestError aError,
                                        std::string aMessage,
                                        Duration aRetryAfter);

  /// Makes the response for a refusal of the core.
  static ErrorResponse FromRefusal(const Refusal& aRefusal);

  /// Returns the JSON body.
  std::string Body() const;

  /// Returns Content-Type, Peridothoist-Run and, if a retry helps,
  /// Retry-After.
  HttpHeaders Headers() const;

  /// Sends this response to the caller of aExchange.
  void Send(HttpExchange& aExchange) const;
};

} // namespace peridothoist
