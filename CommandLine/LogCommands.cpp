/// Commands that analyse logs and make no calls.
#include <Peridothoist/Peridothoist.h>
#include <CommandLine/LogCommands.h>

#include <CommandLine/RequestTimeline.h>

#include <iomanip>
#include <istream>
#include <ostream>

namespace peridothoist {

namespace {

ExitCode
Explain(CommandContext& aContext)
{
  if (aContext.mIn == nullptr) {
    aContext.mError << "no input to read logs from\n";
    return ExitCode::Usage;
  }
  const std::string& id = aContext.mArguments.front();
  const auto timeline = BuildTimeline(ReadLogRecords(*aContext.mIn), id);
  if (timeline.empty()) {
    aContext.mError << "no log line mentions request " << id
                    << "; the input must include the logs of all VMs\n";
    return ExitCode::Refused;
  }
  if (aContext.mFormat == OutputFormat::Json) {
    nlohmann::json lines = nlohmann::json::array();
    for (const TimelineEntry& it : timeline) {
      lines.push_back({ { "after_seconds", it.mSecondsAfterArrival },
                        { "vm", it.mVm },
                        { "text", it.mText } });
    }
    aContext.mOut << lines.dump() << "\n";
    return ExitCode::Ok;
  }
  for (const TimelineEntry& it : timeline) {
    aContext.mOut << std::showpos << std::fixed << std::setprecision(4)
                  << std::setw(10) << it.mSecondsAfterArrival << " s "
                  << std::noshowpos << it.mVm << "  " << it.mText << "\n";
  }
  return ExitCode::Ok;
}

} // namespace

std::vector<Command>
LogCommands()
{
  return { { "explain",
             "",
             "ID < LOGS",
             "Prints the log lines of a request and of its VM's state changes.",
             1,
             1,
             &Explain,
             true } };
}

} // namespace peridothoist
