/// One command of the operators' command line, as a row of a table, and what
/// commands share: their context, exit codes and output.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <CommandLine/ControlClient.h>

#include <iosfwd>

namespace peridothoist {

/// Exit codes, the same for every command.
enum class ExitCode
{
  Ok = 0,
  Usage = 1,
  Refused = 2,
  Conflict = 3,
  Unreachable = 4,
  InDoubt = 5
};

/// How answers are printed.
enum class OutputForm
{
  Text,
  Json
};

/// What a command is given.
struct CommandContext
{
  CommandContext(ControlCaller& aControl,
                 std::ostream& aOut,
                 std::ostream& aError)
    : mControl(aControl)
    , mOut(aOut)
    , mError(aError)
  {
  }

  ControlCaller& mControl;
  std::ostream& mOut;
  std::ostream& mError;
  std::istream* mIn = nullptr; ///< What the command reads; may be missing.
  OutputForm mForm = OutputForm::Text;
  std::vector<std::string> mArguments; ///< After the command's name.

  // Flags that several commands use.
  std::string mReason;         ///< --reason
  std::string mOverrideReason; ///< --override_reason
  std::string mVerdict;        ///< --verdict
  std::string mName;           ///< --name
  bool mWait = false;          ///< --wait: until in force everywhere.
  bool mYes = false;           ///< --yes: apply without asking.
  bool mUndo = false;          ///< --undo
  Duration mWaitLimit = std::chrono::seconds(30);
};

/// One command.
struct Command
{
  const char* mGroup;     ///< As "workspaces".
  const char* mVerb;      ///< As "create"; empty: the group is the command.
  const char* mArguments; ///< As "NAME FIELD=VALUE...", for the usage.
  const char* mHelp;      ///< One sentence.
  std::size_t mLeast;     ///< Arguments it needs.
  std::size_t mMost;      ///< Arguments it takes.
  ExitCode (*mRun)(CommandContext& aContext);
  bool mLocal = false; ///< It calls nobody.
};

/// Rows of all groups.
const std::vector<Command>&
AllCommands();

/// Whether the command that aArguments start with calls nobody.
bool
IsLocalCommand(const std::vector<std::string>& aArguments);

/// Finds and runs the command that aContext.mArguments starts with; prints
/// the usage when there is none, or with aHelp.
ExitCode
RunCommand(CommandContext& aContext, bool aHelp);

/// Prints a failed call and gives its exit code.
ExitCode
ReportFailure(CommandContext& aContext, const ControlAnswer& aAnswer);

/// Prints an answer as JSON, or by aText when text is wanted.
void
PrintAnswer(CommandContext& aContext,
            const nlohmann::json& aBody,
            const std::string& aText);

/// Waits until a version is in force everywhere, when --wait is given.
ExitCode
WaitInForce(CommandContext& aContext, const nlohmann::json& aAnswer);

/// Submits edits on the present version (compare-and-set) and reports.
ExitCode
SubmitEdits(CommandContext& aContext,
            std::uint64_t aBaseVersion,
            const nlohmann::json& aEdits);

/// Reports how a change went: prints, waits if asked to.
ExitCode
ReportChange(CommandContext& aContext, const ControlAnswer& aAnswer);

/// A configuration as the admin API gives it.
struct FetchedConfig
{
  std::uint64_t mVersion = 0;
  nlohmann::json mItems; ///< A list of {"kind","name","json"}.
};

/// Fetches all items, or those of a path like "/workspace"; empty after the
/// failure was reported with *aExit.
std::optional<FetchedConfig>
FetchConfig(CommandContext& aContext,
            const std::string& aPath,
            ExitCode* aExit);

/// Reads FIELD=VALUE arguments from aFirst on into aItem; a VALUE is JSON, or
/// text where it isn't. "FIELD=" removes a field. False after a message.
bool
ReadFields(CommandContext& aContext, std::size_t aFirst, nlohmann::json& aItem);

} // namespace peridothoist
