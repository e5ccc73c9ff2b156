/// The last check before work leaves for an upstream.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

namespace peridothoist {

/// Says whether a key is still good and the view fresh.
class DispatchGate
{
public:
  virtual ~DispatchGate() = default;

  /// Nothing when the dispatch may go on, else why not. Open routes ask with
  /// an empty workspace and key.
  virtual std::optional<RefusalKind> MayDispatch(const std::string& aWorkspace,
                                                 const std::string& aKeyName,
                                                 TimePoint aNow) = 0;
};

} // namespace peridothoist
