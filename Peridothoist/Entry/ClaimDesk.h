/// Interface of the claim store, as RequestRunner uses it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist {

/// Inserts claims and records outcomes of requests that must not run twice.
class ClaimDesk
{
public:
  virtual ~ClaimDesk() = default;

  using ClaimDone = std::function<void(const ClaimAnswer& aResult)>;

  /// Inserts the claim of an InsertClaim command. Calls aDone exactly once.
  virtual void InsertClaim(const std::string& aWorkspace,
                           const RequestCommand& aCommand,
                           ClaimDone aDone) = 0;

  /// Writes the outcome of a RecordOutcome command, retrying until it is
  /// stored.
  virtual void RecordOutcome(const std::string& aWorkspace,
                             const RequestCommand& aCommand) = 0;

  /// Returns the number of outcomes that are not yet written.
  virtual std::size_t OpenRecords() const = 0;
};

} // namespace peridothoist
