#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ConfigurationHistory.h>

#include <Peridothoist/Shell/Compression.h>

#include <xxhash.h>

#include <algorithm>

namespace peridothoist {

namespace {

/// Configurations that are kept. A VM that has missed more changes than this
/// less one reads the newest rows whole.
constexpr std::size_t kMaxEntries = 3;

/// Maximum size of the rows after a change, in bytes.
constexpr std::size_t kMaxBytes = std::size_t(32) << 20;

std::uint64_t
DigestOfBytes(std::string_view aBytes)
{
  return std::max<std::uint64_t>(1, XXH3_64bits(aBytes.data(), aBytes.size()));
}

} // namespace

void
ConfigurationHistory::Add(const std::vector<StoredRow>& aRows)
{
  std::string bytes = EncodeRows(aRows);
  const std::uint64_t digest = DigestOfBytes(bytes);
  if (digest == NewestDigest()) {
    return;
  }
  mCompressed.clear();
  const auto isSame = [digest](const Entry& aIt) {
    return aIt.mDigest == digest;
  };
  mEntries.erase(std::remove_if(mEntries.begin(), mEntries.end(), isSame),
                 mEntries.end());
  mEntries.push_back({ digest, std::move(bytes) });
  if (mEntries.size() > kMaxEntries) {
    mEntries.pop_front();
  }
}

std::uint64_t
ConfigurationHistory::NewestDigest() const
{
  return mEntries.empty() ? 0 : mEntries.back().mDigest;
}

const ConfigurationHistory::Entry*
ConfigurationHistory::Find(std::uint64_t aDigest) const
{
  for (const Entry& it : mEntries) {
    if (it.mDigest == aDigest) {
      return &it;
    }
  }
  return nullptr;
}

std::optional<ConfigurationChange>
ConfigurationHistory::ChangeSince(std::uint64_t aBaseDigest, Duration aAge)
{
  if (mEntries.empty()) {
    return std::nullopt;
  }
  const Entry* base = Find(aBaseDigest);
  const std::uint64_t baseDigest = base != nullptr ? aBaseDigest : 0;
  std::string& compressed = mCompressed[baseDigest];
  if (compressed.empty()) {
    compressed = CompressAgainst(base != nullptr ? base->mBytes : "",
                                 mEntries.back().mBytes);
  }
  if (compressed.empty()) {
    return std::nullopt;
  }
  return ConfigurationChange{ aAge, baseDigest, compressed };
}

std::optional<std::vector<StoredRow>>
ConfigurationHistory::Apply(const ConfigurationChange& aChange) const
{
  const Entry* base = Find(aChange.mBaseDigest);
  if (base == nullptr && aChange.mBaseDigest != 0) {
    return std::nullopt;
  }
  const auto bytes = DecompressAgainst(
    base != nullptr ? base->mBytes : "", aChange.mCompressedRows, kMaxBytes);
  return bytes ? DecodeRows(*bytes) : std::nullopt;
}

} // namespace peridothoist
