#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

#include <array>

namespace peridothoist {

const char*
ToName(ReasonCode aCode)
{
  static constexpr std::array<const char*, 9> kNames = {
    "none",        "invalid",  "not_found", "conflict", "refused",
    "unreachable", "in_doubt", "stale",     "full"
  };
  return kNames[static_cast<std::size_t>(aCode)];
}

void
Reason::Set(Reason* aReason, ReasonCode aCode, std::string aText)
{
  if (aReason != nullptr) {
    aReason->mCode = aCode;
    aReason->mText = std::move(aText);
  }
}

} // namespace peridothoist
