/// The table of the commands of the operators' command line, and the context,
/// exit codes and output functions that all commands use.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>

#include <iosfwd>

namespace peridothoist {

/// Exit codes of all commands.
enum class ExitCode
{
  Ok = 0,
  Usage = 1,
  Refused = 2,
  Conflict = 3,
  Unreachable = 4,
  InDoubt = 5
};

/// Format in which responses are printed.
enum class OutputFormat
{
  Text,
  Json
};

/// Inputs and outputs of a command.
struct CommandContext
{
  CommandContext(ControlTransport& aControl,
                 std::ostream& aOut,
                 std::ostream& aError)
    : mControl(aControl)
    , mOut(aOut)
    , mError(aError)
  {
  }

  ControlTransport& mControl;
  std::ostream& mOut;
  std::ostream& mError;
  std::istream* mIn = nullptr; ///< Standard input; may be null.
  OutputFormat mFormat = OutputFormat::Text;
  std::vector<std::string> mArguments; ///< Arguments after the command's name.

  // Flags that several commands use.
  std::string mReason;         ///< --reason
  std::string mOverrideReason; ///< --override_reason
  std::string mVerdict;        ///< --verdict
  std::string mName;           ///< --name
  bool mShouldWait = false;    ///< --wait: until in force everywhere.
  bool mShouldApply = false;   ///< --yes: apply the change.
  bool mShouldUndo = false;    ///< --undo
  Duration mWaitTimeout = std::chrono::seconds(30); ///< Limit of --wait.
};

/// One row of the command table.
struct Command
{
  const char* mGroup;        ///< For example "workspaces".
  const char* mVerb;         ///< For example "create"; empty: none.
  const char* mArguments;    ///< Shown in the usage: "NAME FIELD=VALUE...".
  const char* mHelp;         ///< Help text: one sentence.
  std::size_t mMinArguments; ///< Minimum number of arguments.
  std::size_t mMaxArguments; ///< Maximum number of arguments.
  ExitCode (*mRun)(CommandContext& aContext);
  bool mIsLocal = false; ///< Makes no call to a control process.
};

/// Returns the commands of all groups.
const std::vector<Command>&
AllCommands();

/// Returns whether aArguments start with a command that makes no call.
bool
IsLocalCommand(const std::vector<std::string>& aArguments);

/// Finds and runs the command that aContext.mArguments starts with. Prints the
/// usage if there is no such command, or if aIsHelp is set.
ExitCode
RunCommand(CommandContext& aContext, bool aIsHelp);

/// Prints the error of a failed call and returns its exit code.
ExitCode
ReportFailure(CommandContext& aContext, const ControlResponse& aResponse);

/// Prints a response: aBody in JSON format, aText in text format.
void
PrintResponse(CommandContext& aContext,
              const nlohmann::json& aBody,
              const std::string& aText);

/// Waits until the version in a response is in force everywhere if --wait was
/// given.
ExitCode
WaitUntilInForce(CommandContext& aContext, const nlohmann::json& aResponse);

/// Submits edits based on a version (compare-and-set) and reports the result.
ExitCode
SubmitEdits(CommandContext& aContext,
            std::uint64_t aBaseVersion,
            const nlohmann::json& aEdits);

/// Prints the result of a change; waits if --wait was given.
ExitCode
ReportChange(CommandContext& aContext, const ControlResponse& aResponse);

/// Configuration items returned by the admin API.
struct FetchedConfig
{
  std::uint64_t mVersion = 0;
  nlohmann::json mItems; ///< A list of {"kind","name","json"}.
};

/// Fetches all items, or those of a path like "/workspace". On failure, prints
/// the error, sets *aExit and returns nullopt.
std::optional<FetchedConfig>
FetchConfig(CommandContext& aContext,
            const std::string& aPath,
            ExitCode* aExit);

/// Parses the FIELD=VALUE arguments from index aFirst on into aItem. A VALUE
/// that is not valid JSON is taken as text; "FIELD=" removes a field. On a
/// syntax error, prints it and returns false.
bool
ParseFields(CommandContext& aContext,
            std::size_t aFirst,
            nlohmann::json& aItem);

} // namespace peridothoist
