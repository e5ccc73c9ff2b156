/// Selects the entries that a workspace's callers should use, for
/// `GET /v1/entries`. These are the workspace's home entries, which hold its
/// allowance. Entries in the caller's zone come first; leaving entries are
/// excluded.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// Limits of an EntryDirectory.
struct EntryDirectorySettings
{
  /// The same as AllowanceTableSettings::mHomeEntriesPerWorkspace.
  std::size_t mEntriesPerWorkspace = 3;
  /// An entry that was last seen longer ago than this is excluded.
  Duration mEntryTimeout = std::chrono::seconds(5);
};

/// Selects entries for callers.
class EntryDirectory
{
public:
  using Settings = EntryDirectorySettings;

  explicit EntryDirectory(const Settings& aSettings);

  /// Returns the addresses for aWorkspace's callers in aZone, best first.
  /// aMembers is the result of MemberList::CurrentMembers().
  std::vector<std::string> SelectEntries(
    std::string_view aWorkspace,
    std::string_view aZone,
    const std::vector<Member>& aMembers) const;

private:
  bool IsUsable(const Member& aMember) const;

  Settings mSettings;
};

} // namespace peridothoist
