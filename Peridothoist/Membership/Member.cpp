#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/Member.h>

#include <array>

namespace peridothoist {

namespace {
constexpr std::array<const char*, 2> kStateNames = { "live", "leaving" };
} // namespace

const char*
ToName(MemberState aState)
{
  return kStateNames[static_cast<std::size_t>(aState)];
}

std::optional<MemberState>
MemberStateFromName(std::string_view aName)
{
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (aName == kStateNames[i]) {
      return static_cast<MemberState>(i);
    }
  }
  return std::nullopt;
}

} // namespace peridothoist
