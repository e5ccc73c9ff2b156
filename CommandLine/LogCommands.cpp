#include <Peridothoist/Peridothoist.h>
#include <CommandLine/LogCommands.h>

#include <CommandLine/LogStory.h>

#include <iomanip>
#include <istream>
#include <ostream>

namespace peridothoist {

namespace {

ExitCode
Explain(CommandContext& aContext)
{
  if (aContext.mIn == nullptr) {
    aContext.mError << "there is no input to read logs from\n";
    return ExitCode::Usage;
  }
  const std::string& id = aContext.mArguments.front();
  const auto story = TellStory(ReadLogs(*aContext.mIn), id);
  if (story.empty()) {
    aContext.mError << "no log line names the request " << id
                    << "; give the lines of all VMs\n";
    return ExitCode::Refused;
  }
  if (aContext.mForm == OutputForm::Json) {
    nlohmann::json lines = nlohmann::json::array();
    for (const StoryLine& it : story) {
      lines.push_back({ { "after_seconds", it.mAfter },
                        { "vm", it.mVm },
                        { "text", it.mText } });
    }
    aContext.mOut << lines.dump() << "\n";
    return ExitCode::Ok;
  }
  for (const StoryLine& it : story) {
    aContext.mOut << std::showpos << std::fixed << std::setprecision(4)
                  << std::setw(10) << it.mAfter << " s " << std::noshowpos
                  << it.mVm << "  " << it.mText << "\n";
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
             "What became of a request, and what its VM believed, from logs.",
             1,
             1,
             &Explain,
             true } };
}

} // namespace peridothoist
