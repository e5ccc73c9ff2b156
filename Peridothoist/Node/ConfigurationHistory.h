/// Keeps the rows of the last configurations in encoded form, so that VMs send
/// each other only what has changed since a version that both know.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Node/ViewCodec.h>

#include <deque>

namespace peridothoist {

/// The last configurations by digest.
///
/// Invariant: a digest names the same bytes at all VMs of one encoding, so what
/// was compressed against a base is read against that base or not at all.
class ConfigurationHistory
{
public:
  /// Adds the rows of the newest configuration.
  void Add(const std::vector<StoredRow>& aRows);

  /// Returns the digest of the newest rows; 0: none.
  std::uint64_t NewestDigest() const;

  /// Returns what has changed from the rows of aBaseDigest to the newest, or
  /// the newest rows whole if the base is not known here. Returns nullopt if
  /// there are no rows.
  std::optional<ConfigurationChange> ChangeSince(std::uint64_t aBaseDigest,
                                                 Duration aAge);

  /// Returns the rows after a change; nullopt if its base is not known here or
  /// it is not a valid change.
  std::optional<std::vector<StoredRow>> Apply(
    const ConfigurationChange& aChange) const;

private:
  struct Entry
  {
    std::uint64_t mDigest = 0;
    std::string mBytes; ///< EncodeRows().
  };

  const Entry* Find(std::uint64_t aDigest) const;

  std::deque<Entry> mEntries; ///< The newest is the last.
  /// Compressed newest rows by the digest of their base.
  std::map<std::uint64_t, std::string> mCompressed;
};

} // namespace peridothoist
