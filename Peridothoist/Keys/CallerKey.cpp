#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Keys/CallerKey.h>

#include <openssl/evp.h>

#include <algorithm>

namespace peridothoist {

namespace {

bool
IsKeyCharacter(char aCharacter)
{
  const bool isLetter = (aCharacter >= 'a' && aCharacter <= 'z') ||
                        (aCharacter >= 'A' && aCharacter <= 'Z');
  const bool isDigit = aCharacter >= '0' && aCharacter <= '9';
  return isLetter || isDigit || aCharacter == '-' || aCharacter == '_';
}

bool
IsKeyPart(std::string_view aText, std::size_t aMaxBytes)
{
  return !aText.empty() && aText.size() <= aMaxBytes &&
         std::all_of(aText.begin(), aText.end(), IsKeyCharacter);
}

std::string
ToHex(const unsigned char* aBytes, std::size_t aCount)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  hex.reserve(aCount * 2);
  for (std::size_t i = 0; i < aCount; ++i) {
    hex.push_back(kDigits[aBytes[i] >> 4]);
    hex.push_back(kDigits[aBytes[i] & 15]);
  }
  return hex;
}

} // namespace

std::optional<CallerKey>
CallerKey::Parse(std::string_view aText, Reason* aReason)
{
  const std::size_t dot = aText.find('.');
  if (dot == std::string_view::npos) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "the key has no '.' between name and secret");
    return std::nullopt;
  }
  const std::string_view name = aText.substr(0, dot);
  const std::string_view secret = aText.substr(dot + 1);
  if (!IsKeyName(name) || !IsKeyPart(secret, kMaxSecretBytes)) {
    Reason::Set(aReason, ReasonCode::Invalid, "the key is malformed");
    return std::nullopt;
  }
  return CallerKey{ std::string(name), std::string(secret) };
}

bool
IsKeyName(std::string_view aName)
{
  return IsKeyPart(aName, CallerKey::kMaxNameBytes);
}

std::optional<NewKey>
MakeKey(std::string_view aName,
        std::string_view aWorkspace,
        const KeyEntropy& aEntropy,
        Reason* aReason)
{
  if (!IsKeyName(aName)) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "a key's name must have 1 to 64 letters, digits, '-' or '_'");
    return std::nullopt;
  }
  const std::string secret =
    ToHex(aEntropy.mSecret.data(), aEntropy.mSecret.size());
  NewKey key;
  key.mText = std::string(aName) + "." + secret;
  key.mRecord.mName = aName;
  key.mRecord.mWorkspace = aWorkspace;
  key.mRecord.mSalt = ToHex(aEntropy.mSalt.data(), aEntropy.mSalt.size());
  key.mRecord.mDigest = DigestKey(key.mRecord.mSalt, secret);
  return key;
}

std::string
DigestKey(std::string_view aSaltHex, std::string_view aSecret)
{
  // The salt has a fixed length in hex. The separator keeps the salt and the
  // secret apart even if that length changes.
  std::string input;
  input.reserve(aSaltHex.size() + 1 + aSecret.size());
  input.append(aSaltHex);
  input.push_back('.');
  input.append(aSecret);
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  const int result = EVP_Digest(
    input.data(), input.size(), digest, &size, EVP_sha256(), nullptr);
  PH_ASSERT(result == 1);
  return ToHex(digest, size);
}

} // namespace peridothoist
