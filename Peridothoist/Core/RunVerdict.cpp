#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RunVerdict.h>

#include <array>

namespace peridothoist {

const char*
ToName(RunVerdict aVerdict)
{
  static constexpr std::array<const char*, 3> kNames = { "not-run",
                                                         "may-have-run",
                                                         "ran" };
  return kNames[static_cast<std::size_t>(aVerdict)];
}

} // namespace peridothoist
