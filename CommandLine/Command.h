/// What every command of peridothoistctl gets, and the table that lists them.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <CommandLine/AdminClient.h>
#include <CommandLine/Output.h>

namespace peridothoist::ctl {

/// What a command works with.
struct CommandContext
{
  AdminClient& mClient;
  const Output& mOutput;
  std::vector<std::string> mArguments; ///< After the command's own words.
  std::string mReason;                 ///< --reason
  std::string mOverrideReason;         ///< --override_reason
  bool mYes = false;                   ///< --yes
  bool mDryRun = false;                ///< --dry_run
  bool mWait = false;                  ///< --wait
};

/// One command.
struct Command
{
  const char* mGroup;     ///< First word.
  const char* mVerb;      ///< Second word; empty: the group is the command.
  const char* mArguments; ///< Shape of the arguments, for help.
  const char* mHelp;      ///< One sentence.
  std::size_t mLeast;     ///< Arguments needed.
  ExitCode (*mRun)(CommandContext& aContext);
};

/// All commands, in the order of the help text.
const std::vector<Command>&
Commands();

/// The command that the words begin with; null when there is none.
const Command*
FindCommand(const std::vector<std::string>& aWords);

/// The help of all commands, of one group, or of one command.
std::string
HelpOf(const std::vector<std::string>& aWords);

} // namespace peridothoist::ctl
