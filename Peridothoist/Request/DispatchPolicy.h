/// The last check before a request is sent to an upstream.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// Checks whether an API key is still valid and the view is fresh.
class DispatchPolicy
{
public:
  virtual ~DispatchPolicy() = default;

  /// Returns the reason for refusal, or nullopt if the request may be sent. For
  /// open routes the workspace and key name are empty. aKeyName is
  /// Arrival::mKeyName.
  virtual std::optional<RefusalKind> CheckDispatch(
    const std::string& aWorkspace,
    const std::string& aKeyName,
    TimePoint aNow) = 0;
};

} // namespace peridothoist
