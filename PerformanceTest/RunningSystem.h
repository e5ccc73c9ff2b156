/// The running system that a benchmark measures. SystemTests/cluster.py starts
/// it and describes it in environment variables.
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
  std::string mStandInPlatform; ///< Address of the platform stand-in.
  std::string mStandInEngines;  ///< Management address of engines.
  std::vector<int> mEntryPids;
  std::vector<int> mControlPids;

  /// Reads the description from the environment. Returns nullopt when there is
  /// none.
  static std::optional<RunningSystem> FromEnvironment();
};

/// Returns the processor time that a process has used, or 0 when it has ended.
double
ProcessCpuSeconds(int aPid);

/// Returns the resident memory of a process, or 0 when it has ended.
double
ProcessResidentBytes(int aPid);

/// Returns the processor time that this process has used.
double
ThisProcessCpuSeconds();

/// Raises the soft limit of open descriptors to the hard limit and returns the
/// new soft limit.
std::uint64_t
RaiseDescriptorLimit();

} // namespace peridothoist::perf
