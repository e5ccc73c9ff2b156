/// Checks whether a request may be accepted and started, according to the
/// configuration, the dispatch check, the quarantine and the queues.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Checks requests without changing them.
class RequestPolicy
{
public:
  RequestPolicy(EntryContext& aContext, Dispatcher& aDispatcher)
    : mContext(aContext)
    , mDispatcher(aDispatcher)
  {
  }

  /// Returns the reason to refuse a new request, or nullopt if it is accepted.
  /// Sets aRetryAfter if a later retry may succeed.
  std::optional<RefusalKind> CheckArrival(const RequestState& aRequest,
                                          Duration& aRetryAfter) const;

  /// Returns the reason why an attempt may not start or its content not be
  /// sent, or nullopt if it may. Called directly before either.
  std::optional<RefusalKind> CheckStart(const RequestState& aRequest) const;

  /// Returns the defaults with the overrides of the request's workspace.
  Defaults DefaultsOf(const RequestState& aRequest) const;

private:
  /// Checks that the workspace may use all pools of the route.
  std::optional<RefusalKind> CheckPoolAccess(
    const RequestState& aRequest) const;

  EntryContext& mContext;
  Dispatcher& mDispatcher;
};

} // namespace peridothoist
