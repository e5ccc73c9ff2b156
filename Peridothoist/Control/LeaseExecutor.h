/// Executes the actions of a LeaseStateMachine on the row of the lease in the
/// platform's table.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseStateMachine.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// The lease of one upstream group, for which this process is a candidate.
class LeaseExecutor
{
public:
  LeaseExecutor(Reactor& aReactor,
                Platform& aPlatform,
                const LeaseStateMachineSettings& aSettings,
                const std::string& aGroup,
                const std::string& aSelfInstance);
  ~LeaseExecutor();
  LeaseExecutor(const LeaseExecutor&) = delete;
  LeaseExecutor& operator=(const LeaseExecutor&) = delete;

  /// Starts the next read or write of the row, if one is due.
  void OnTick();

  LeaseStateMachine& StateMachine() { return mStateMachine; }
  const LeaseStateMachine& StateMachine() const { return mStateMachine; }

  /// Instance that holds the lease according to the last known row; empty if
  /// the lease is free or the row was never read.
  const std::string& HolderInstance() const { return mHolder; }

private:
  void Read();
  void Write(const LeaseAction& aAction);

  Reactor& mReactor;
  Platform& mPlatform;
  std::string mRow;
  LeaseStateMachine mStateMachine;
  std::string mHolder;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

/// Encodes a lease row as the JSON value stored in the table.
std::string
EncodeLeaseRow(const LeaseRow& aRow);
/// Returns nullopt if the text is not a valid lease row.
std::optional<LeaseRow>
DecodeLeaseRow(std::string_view aText);

} // namespace peridothoist
