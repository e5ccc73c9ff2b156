/// The text form of a caller's key, `NAME.SECRET`, and the making of new keys.
/// The name is public and names the key's record; the secret is known to the
/// caller alone and is never kept, logged or sent on.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <array>

namespace peridothoist {

/// A caller's key, taken apart.
struct KeyText
{
  static constexpr std::size_t kMaxNameBytes = 64;
  static constexpr std::size_t kMaxSecretBytes = 128;

  std::string mName;
  std::string mSecret;

  /// Reads `NAME.SECRET`. Empty with Invalid when aText has another form; the
  /// reason never repeats any part of the secret.
  static std::optional<KeyText> Parse(std::string_view aText, Reason* aReason);
};

/// Whether aName may name a key: 1 to 64 letters, digits, '-' and '_'.
bool
IsKeyName(std::string_view aName);

/// The random bytes that one new key needs, from a cryptographic generator.
struct KeyEntropy
{
  std::array<unsigned char, 32> mSecret{};
  std::array<unsigned char, 16> mSalt{};
};

/// A new key: the text for its caller, shown once, and the record to keep.
struct NewKey
{
  std::string mText;
  KeyRecord mRecord;
};

/// Makes a key for aWorkspace. Empty with Invalid when aName can't name one.
std::optional<NewKey>
MakeKey(std::string_view aName,
        std::string_view aWorkspace,
        const KeyEntropy& aEntropy,
        Reason* aReason);

/// Hex SHA-256 of the salt in hex, '.', and the secret.
std::string
DigestKey(std::string_view aSaltHex, std::string_view aSecret);

} // namespace peridothoist
