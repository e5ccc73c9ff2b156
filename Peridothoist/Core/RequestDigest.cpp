#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/RequestDigest.h>

#include <openssl/sha.h>

#include <array>

namespace peridothoist {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

void
AppendHex(std::string& aOut, unsigned char aByte)
{
  aOut += kHexDigits[aByte >> 4];
  aOut += kHexDigits[aByte & 15];
}

bool
IsUnreserved(char aByte)
{
  const bool isLetter =
    (aByte >= 'a' && aByte <= 'z') || (aByte >= 'A' && aByte <= 'Z');
  const bool isDigit = aByte >= '0' && aByte <= '9';
  return isLetter || isDigit || aByte == '-' || aByte == '.' || aByte == '_' ||
         aByte == '~';
}

} // namespace

std::string
DigestRequest(std::string_view aMethod,
              std::string_view aTarget,
              std::string_view aBody)
{
  std::string text;
  for (const std::string_view part : { aMethod, aTarget, aBody }) {
    text += std::to_string(part.size());
    text += ':';
    text += part;
  }
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()),
         text.size(),
         digest.data());
  std::string hex;
  for (const unsigned char byte : digest) {
    AppendHex(hex, byte);
  }
  return hex;
}

std::string
PercentEncode(std::string_view aText)
{
  std::string encoded;
  for (const char byte : aText) {
    if (IsUnreserved(byte)) {
      encoded += byte;
      continue;
    }
    encoded += '%';
    AppendHex(encoded, static_cast<unsigned char>(byte));
  }
  return encoded;
}

} // namespace peridothoist
