/// Says why a request may not be taken in or started, from the configuration,
/// the gate, the quarantine and the queues.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Dispatcher.h>
#include <Peridothoist/Request/EntryContext.h>

namespace peridothoist {

/// Checks requests; changes nothing.
class RequestRules
{
public:
  RequestRules(EntryContext& aContext, Dispatcher& aDispatcher)
    : mContext(aContext)
    , mDispatcher(aDispatcher)
  {
  }

  /// Why a new request is refused; nothing when it is taken in. Sets
  /// aRetryAfter when it makes sense to come back.
  std::optional<RefusalKind> CheckArrival(const RequestState& aRequest,
                                          Duration& aRetryAfter) const;

  /// Why an attempt may not start or its content not leave. Asked directly
  /// before.
  std::optional<RefusalKind> CheckStart(const RequestState& aRequest) const;

  /// Defaults as the request's workspace has them.
  Defaults DefaultsOf(const RequestState& aRequest) const;

private:
  std::optional<RefusalKind> CheckRight(const RequestState& aRequest) const;

  EntryContext& mContext;
  Dispatcher& mDispatcher;
};

} // namespace peridothoist
