/// The running system that a benchmark measures, as the harness describes it
/// in the environment (see SystemTests/cluster.py).
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::perf {

/// Addresses, keys and processes of the running system.
struct RunningSystem
{
  std::vector<std::string> mEntries; ///< "ip:port" for callers.
  std::vector<std::string> mKeys;    ///< One for each workspace, in order.
  std::vector<std::string> mPrefills;
  std::vector<std::string> mDecodes;
  std::vector<std::string> mPlains;
  std::string mStandInPlatform; ///< The platform stand-in.
  std::string mStandInEngines;  ///< The engine stand-ins' management port.
  std::vector<int> mEntryPids;
  std::vector<int> mControlPids;

  /// Reads it from the environment; empty when there is none.
  static std::optional<RunningSystem> FromEnvironment();
};

/// Processor seconds that a process has used; 0 when it is gone.
double
ProcessCpuSeconds(int aPid);

/// Resident memory of a process in bytes; 0 when it is gone.
double
ProcessResidentBytes(int aPid);

/// The same of this process.
double
OwnCpuSeconds();

/// Raises the soft limit of open descriptors up to the hard one and returns
/// what it is then.
std::uint64_t
RaiseDescriptorLimit();

} // namespace peridothoist::perf
