/// Which entries a workspace's callers should use (`GET /v1/entries`): the
/// workspace's home entries, which hold its allowance, the caller's zone
/// first; leaving ones are left out.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

namespace peridothoist {

/// Limits of an EntryDirectory.
struct EntryDirectorySettings
{
  std::size_t mEntriesPerWorkspace = 3; ///< The same as AllowanceBook's.
  Duration mAliveLimit = std::chrono::seconds(5); ///< Silent longer: left out.
};

/// Answers callers' question for entries.
class EntryDirectory
{
public:
  using Settings = EntryDirectorySettings;

  explicit EntryDirectory(const Settings& aSettings);

  /// The addresses for aWorkspace's callers in aZone, best first. aMembers are
  /// as MemberList::Export() gives them.
  std::vector<std::string> Choose(std::string_view aWorkspace,
                                  std::string_view aZone,
                                  const std::vector<Member>& aMembers) const;

private:
  bool IsUsable(const Member& aMember) const;

  Settings mSettings;
};

} // namespace peridothoist
