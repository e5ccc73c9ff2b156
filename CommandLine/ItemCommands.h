/// Commands that read and change configuration items.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <CommandLine/Command.h>

namespace peridothoist::ctl {

/// Sends edits as one change on condition of aBaseVersion, and waits until it
/// is in force when that was asked for.
ExitCode
SendChange(CommandContext& aContext,
           const nlohmann::json& aEdits,
           std::uint64_t aBaseVersion);

/// The version of the configuration now; empty with the failed answer.
std::optional<std::uint64_t>
ReadVersion(CommandContext& aContext, AdminAnswer* aAnswer);

/// Reads FIELD=VALUE words into an item's JSON. Values that are JSON numbers,
/// truth values, arrays or objects are taken as such, all others as text;
/// "pools" is a list by commas. False with aReason when a word has no '='.
bool
ReadFields(const std::vector<std::string>& aWords,
           std::size_t aFrom,
           nlohmann::json& aItem,
           std::string* aReason);

/// Appends the commands of all item kinds.
void
AddItemCommands(std::vector<Command>& aCommands);

} // namespace peridothoist::ctl
