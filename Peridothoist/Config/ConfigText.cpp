/// Parsers of durations, names and addresses.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigText.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace peridothoist {

namespace {

/// A unit of time and its length.
struct TimeUnit
{
  std::string_view mName;
  std::int64_t mMicroseconds;
};

/// Sorted from the largest to the smallest.
constexpr std::array<TimeUnit, 6> kTimeUnits = { {
  { "d", 86'400'000'000 },
  { "h", 3'600'000'000 },
  { "m", 60'000'000 },
  { "s", 1'000'000 },
  { "ms", 1'000 },
  { "us", 1 },
} };

/// Upper limit of durations, so that sums of durations don't overflow. Longer
/// ones have no use.
constexpr std::int64_t kMaxDurationMicroseconds = 3650 * 86'400'000'000;

constexpr std::size_t kMaxNameLength = 64;

bool
IsNameCharacter(char aCharacter)
{
  const auto c = static_cast<unsigned char>(aCharacter);
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
}

bool
IsPort(std::string_view aText)
{
  unsigned port = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, port);
  return parsed.ec == std::errc() && parsed.ptr == end && port >= 1 &&
         port <= 65535;
}

bool
IsIpv4(std::string_view aText)
{
  int octets = 0;
  while (true) {
    const std::size_t dot = aText.find('.');
    const std::string_view octet = aText.substr(0, dot);
    unsigned value = 0;
    const char* end = octet.data() + octet.size();
    const auto parsed = std::from_chars(octet.data(), end, value);
    if (octet.empty() || octet.size() > 3 || parsed.ec != std::errc() ||
        parsed.ptr != end || value > 255) {
      return false;
    }
    ++octets;
    if (dot == std::string_view::npos) {
      return octets == 4;
    }
    aText.remove_prefix(dot + 1);
  }
}

bool
IsBracketedIpv6(std::string_view aText)
{
  if (aText.size() < 4 || aText.front() != '[' || aText.back() != ']') {
    return false;
  }
  const std::string_view address = aText.substr(1, aText.size() - 2);
  const bool hasColon = address.find(':') != std::string_view::npos;
  return hasColon &&
         std::all_of(address.begin(), address.end(), [](char aChar) {
           return std::isxdigit(static_cast<unsigned char>(aChar)) != 0 ||
                  aChar == ':' || aChar == '.';
         });
}

} // namespace

std::optional<Duration>
ParseDuration(std::string_view aText)
{
  std::int64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  const std::string_view unit(parsed.ptr,
                              static_cast<std::size_t>(end - parsed.ptr));
  for (const TimeUnit& it : kTimeUnits) {
    if (unit == it.mName) {
      if (number > kMaxDurationMicroseconds / it.mMicroseconds) {
        return std::nullopt;
      }
      return Duration(number * it.mMicroseconds);
    }
  }
  return std::nullopt;
}

std::string
FormatDuration(Duration aDuration)
{
  const std::int64_t count = aDuration.count();
  if (count == 0) {
    return "0s";
  }
  for (const TimeUnit& it : kTimeUnits) {
    if (count % it.mMicroseconds == 0) {
      return std::to_string(count / it.mMicroseconds) + std::string(it.mName);
    }
  }
  PH_ASSERT(false);
}

bool
IsItemName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameCharacter);
}

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string_view host = aText.substr(0, colon);
  return IsPort(aText.substr(colon + 1)) &&
         (IsIpv4(host) || IsBracketedIpv6(host));
}

bool
IsUrlPath(std::string_view aText)
{
  return !aText.empty() && aText.front() == '/' &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return aChar > ' ' && aChar < 0x7f && aChar != '?' && aChar != '#';
         });
}

bool
IsHex(std::string_view aText)
{
  return !aText.empty() && aText.size() % 2 == 0 &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= '0' && aChar <= '9') ||
                  (aChar >= 'a' && aChar <= 'f');
         });
}

} // namespace peridothoist
