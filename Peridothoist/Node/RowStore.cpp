#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/RowStore.h>

#include <xxhash.h>

#include <algorithm>

namespace peridothoist {

std::uint64_t
DigestOf(const std::vector<StoredRow>& aRows)
{
  std::uint64_t digest = aRows.size();
  const auto add = [&digest](std::string_view aBytes) {
    digest = XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), digest);
  };
  for (const StoredRow& it : aRows) {
    add(it.mKey);
    add(it.mValue);
    add(std::to_string(it.mVersion.mNumber));
  }
  return std::max<std::uint64_t>(1, digest);
}

} // namespace peridothoist
