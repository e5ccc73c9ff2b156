/// Parses the text form of a caller's key, `NAME.SECRET`, and creates new keys.
/// The name is public and identifies the key's record. The secret is known only
/// to the caller and is never stored, logged or forwarded.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/Configuration.h>
#include <Peridothoist/Core/Reason.h>

#include <array>

namespace peridothoist {

/// A parsed key of a caller.
struct CallerKey
{
  static constexpr std::size_t kMaxNameBytes = 64;
  static constexpr std::size_t kMaxSecretBytes = 128;

  std::string mName;
  std::string mSecret;

  /// Parses `NAME.SECRET`. Returns nullopt with the reason Invalid when aText
  /// has another form. The reason never contains any part of the secret.
  static std::optional<CallerKey> Parse(std::string_view aText,
                                        Reason* aReason);
};

/// Returns whether aName is a valid key name: 1 to 64 letters, digits, '-' and
/// '_'.
bool
IsKeyName(std::string_view aName);

/// Random bytes for one new key, from a cryptographic generator.
struct KeyEntropy
{
  std::array<unsigned char, 32> mSecret{};
  std::array<unsigned char, 16> mSalt{};
};

/// A new key: the text for its caller, which is shown once, and the record to
/// store.
struct NewKey
{
  std::string mText;
  KeyRecord mRecord;
};

/// Creates a key for aWorkspace. Returns nullopt with the reason Invalid when
/// aName isn't a valid key name.
std::optional<NewKey>
MakeKey(std::string_view aName,
        std::string_view aWorkspace,
        const KeyEntropy& aEntropy,
        Reason* aReason);

/// Returns the SHA-256, in hex, of the salt in hex, '.', and the secret.
std::string
DigestKey(std::string_view aSaltHex, std::string_view aSecret);

} // namespace peridothoist
