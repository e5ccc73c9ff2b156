/// Interface of the claim store, as RequestExecutor uses it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist {

/// Inserts claims and records outcomes of requests that must not run twice.
class ClaimStore
{
public:
  virtual ~ClaimStore() = default;

  using ClaimCallback = std::function<void(const ClaimResult& aResult)>;

  /// Inserts the claim of an InsertClaim command. Calls aDone exactly once.
  virtual void InsertClaim(const std::string& aWorkspace,
                           const RequestCommand& aCommand,
                           ClaimCallback aDone) = 0;

  /// Writes the outcome of a RecordOutcome command, retrying until it is
  /// stored.
  virtual void RecordOutcome(const std::string& aWorkspace,
                             const RequestCommand& aCommand) = 0;

  /// Returns the number of outcomes that are not yet written.
  virtual std::size_t PendingOutcomes() const = 0;
};

} // namespace peridothoist
