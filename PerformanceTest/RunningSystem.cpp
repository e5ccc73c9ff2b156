/// Reads the environment variables of the harness and process data in /proc.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/RunningSystem.h>

#include <fstream>
#include <sstream>

#include <sys/resource.h>
#include <unistd.h>

namespace peridothoist::perf {

namespace {

std::string
GetVariable(const char* aName)
{
  const char* value = std::getenv(aName);
  return value == nullptr ? std::string() : value;
}

std::vector<std::string>
GetVariableList(const char* aName)
{
  std::vector<std::string> parts;
  std::istringstream text(GetVariable(aName));
  std::string part;
  while (std::getline(text, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

std::vector<int>
GetPidList(const char* aName)
{
  std::vector<int> pids;
  for (const std::string& it : GetVariableList(aName)) {
    pids.push_back(std::atoi(it.c_str()));
  }
  return pids;
}

std::string
ReadFile(int aPid, const char* aName)
{
  std::ifstream file("/proc/" + std::to_string(aPid) + "/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

std::optional<RunningSystem>
RunningSystem::FromEnvironment()
{
  RunningSystem system;
  system.mEntries = GetVariableList("PERIDOTHOIST_ENTRIES");
  system.mKeys = GetVariableList("PERIDOTHOIST_KEYS");
  system.mPrefills = GetVariableList("PERIDOTHOIST_PREFILLS");
  system.mDecodes = GetVariableList("PERIDOTHOIST_DECODES");
  system.mPlains = GetVariableList("PERIDOTHOIST_PLAINS");
  system.mStandInPlatform = GetVariable("PERIDOTHOIST_STANDIN_PLATFORM");
  system.mStandInEngines = GetVariable("PERIDOTHOIST_STANDIN_ENGINES");
  system.mEntryPids = GetPidList("PERIDOTHOIST_ENTRY_PIDS");
  system.mControlPids = GetPidList("PERIDOTHOIST_CONTROL_PIDS");
  if (system.mEntries.empty() || system.mKeys.empty()) {
    return std::nullopt;
  }
  return system;
}

double
ProcessCpuSeconds(int aPid)
{
  const std::string stat = ReadFile(aPid, "stat");
  const std::size_t name = stat.rfind(')');
  if (name == std::string::npos) {
    return 0;
  }
  std::istringstream fields(stat.substr(name + 1));
  std::string skipped;
  for (int n = 0; n < 11; ++n) {
    fields >> skipped;
  }
  double user = 0;
  double kernel = 0;
  fields >> user >> kernel;
  return (user + kernel) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double
ProcessResidentBytes(int aPid)
{
  std::istringstream fields(ReadFile(aPid, "statm"));
  double size = 0;
  double resident = 0;
  fields >> size >> resident;
  return resident * static_cast<double>(::sysconf(_SC_PAGE_SIZE));
}

double
ThisProcessCpuSeconds()
{
  return ProcessCpuSeconds(static_cast<int>(::getpid()));
}

std::uint64_t
RaiseDescriptorLimit()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

} // namespace peridothoist::perf
