/// Carries out the steps of one lease over its row in the platform's table.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Lease/LeaseMachine.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// One group's lease, as this process takes part in it.
class LeaseRunner
{
public:
  LeaseRunner(Reactor& aReactor,
              Platform& aPlatform,
              const LeaseMachineSettings& aSettings,
              const std::string& aGroup,
              const std::string& aSelfInstance);
  ~LeaseRunner();
  LeaseRunner(const LeaseRunner&) = delete;
  LeaseRunner& operator=(const LeaseRunner&) = delete;

  /// Starts the next step, if one is due.
  void OnTick();

  LeaseMachine& Machine() { return mMachine; }
  const LeaseMachine& Machine() const { return mMachine; }

  /// Who holds it, as the row last said; empty: nobody, or not read yet.
  const std::string& Holder() const { return mHolder; }

private:
  void Read();
  void Write(const LeaseAction& aAction);

  Reactor& mReactor;
  Platform& mPlatform;
  std::string mRow;
  LeaseMachine mMachine;
  std::string mHolder;
  std::shared_ptr<bool> mAlive;
};

/// The value of a lease's row.
std::string
EncodeLeaseRow(const LeaseRow& aRow);
std::optional<LeaseRow>
DecodeLeaseRow(std::string_view aText);

} // namespace peridothoist
