/// The JSON names of the configuration's enumerations.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>

#include <array>

namespace peridothoist {

namespace {

constexpr std::array<const char*, 7> kItemKindNames = {
  "workspace", "key", "pool", "upstream", "route", "default", "exception"
};
constexpr std::array<const char*, 3> kRoleNames = { "prefill",
                                                    "decode",
                                                    "plain" };
constexpr std::array<const char*, 3> kClassNames = { "lookup",
                                                     "non_idempotent",
                                                     "draft" };

/// Returns the enumerator whose entry in aNames is aName.
template<class Enum, std::size_t kSize>
std::optional<Enum>
FromName(const std::array<const char*, kSize>& aNames, std::string_view aName)
{
  for (std::size_t n = 0; n < kSize; ++n) {
    if (aName == aNames[n]) {
      return static_cast<Enum>(n);
    }
  }
  return std::nullopt;
}

} // namespace

const char*
ToName(ItemKind aKind)
{
  return kItemKindNames[static_cast<std::size_t>(aKind)];
}

std::optional<ItemKind>
ItemKindFromName(std::string_view aName)
{
  return FromName<ItemKind>(kItemKindNames, aName);
}

const char*
ToName(UpstreamRole aRole)
{
  return kRoleNames[static_cast<std::size_t>(aRole)];
}

std::optional<UpstreamRole>
UpstreamRoleFromName(std::string_view aName)
{
  return FromName<UpstreamRole>(kRoleNames, aName);
}

const char*
ToName(RequestClass aClass)
{
  return kClassNames[static_cast<std::size_t>(aClass)];
}

std::optional<RequestClass>
RequestClassFromName(std::string_view aName)
{
  return FromName<RequestClass>(kClassNames, aName);
}

} // namespace peridothoist
