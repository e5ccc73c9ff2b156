/// Token text is derived from CRC-32, prefix ids from xxHash64.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/TokenText.h>

#include <charconv>

#include <boost/crc.hpp>
#include <xxhash.h>

namespace peridothoist::standin {

namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr std::string_view kLengthMarker = "answer_tokens=";

std::string
Hex(std::uint64_t aValue)
{
  char buf[17];
  std::snprintf(
    buf, sizeof(buf), "%016llx", static_cast<unsigned long long>(aValue));
  return buf;
}

} // namespace

std::uint32_t
CountTokens(std::string_view aText)
{
  const std::size_t tokens =
    (aText.size() + kBytesPerToken - 1) / kBytesPerToken;
  return static_cast<std::uint32_t>(tokens);
}

std::uint32_t
Checksum(std::string_view aText)
{
  boost::crc_32_type checksum;
  checksum.process_bytes(aText.data(), aText.size());
  return checksum.checksum();
}

std::string
TokenText(std::uint32_t aChecksum, std::uint32_t aIndex)
{
  char buf[32];
  std::snprintf(buf, sizeof(buf), "t%u-%08x ", aIndex, aChecksum);
  return buf;
}

std::string
GeneratedText(std::string_view aPrompt, std::uint32_t aTokens)
{
  const std::uint32_t checksum = Checksum(aPrompt);
  std::string text;
  for (std::uint32_t n = 0; n < aTokens; ++n) {
    text += TokenText(checksum, n);
  }
  return text;
}

std::optional<std::uint32_t>
GeneratedLength(std::string_view aPrompt)
{
  const std::size_t mark = aPrompt.find(kLengthMarker);
  if (mark == std::string_view::npos) {
    return std::nullopt;
  }
  const char* begin = aPrompt.data() + mark + kLengthMarker.size();
  std::uint32_t tokens = 0;
  const auto parsed =
    std::from_chars(begin, aPrompt.data() + aPrompt.size(), tokens);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return tokens;
}

std::string
PrefixId(std::string_view aPrompt)
{
  return TextDigest(aPrompt.substr(0, kPrefixBytes));
}

std::string
TextDigest(std::string_view aText)
{
  return Hex(XXH64(aText.data(), aText.size(), 0));
}

} // namespace peridothoist::standin
