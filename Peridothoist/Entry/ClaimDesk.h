/// What the request runner needs of the table of claims.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/RequestCommand.h>

namespace peridothoist {

/// Inserts claims and keeps outcomes of requests that must not repeat.
class ClaimDesk
{
public:
  virtual ~ClaimDesk() = default;

  using ClaimDone = std::function<void(const ClaimAnswer& aAnswer)>;

  /// Inserts the claim of an InsertClaim command. aDone is called once.
  virtual void Insert(const std::string& aWorkspace,
                      const RequestCommand& aCommand,
                      ClaimDone aDone) = 0;

  /// Writes what a RecordOutcome command says, however long that takes.
  virtual void Record(const std::string& aWorkspace,
                      const RequestCommand& aCommand) = 0;

  /// Outcomes that are not written yet.
  virtual std::size_t OpenRecords() const = 0;
};

} // namespace peridothoist
