/// Settings of the programs: gflags on the command line, or environment
/// variables.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace peridothoist {

namespace {

constexpr std::string_view kPrefix = "PERIDOTHOIST_";
constexpr std::size_t kMaxNameSize = 63;

bool
IsIpNumber(const std::string& aText)
{
  in6_addr number = {};
  return ::inet_pton(AF_INET, aText.c_str(), &number) == 1 ||
         ::inet_pton(AF_INET6, aText.c_str(), &number) == 1;
}

bool
IsNameChar(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 || aChar == '-' ||
         aChar == '_' || aChar == '.';
}

std::string
NotAllowed(std::string_view aSetting,
           std::string_view aValue,
           std::string_view aAllowed)
{
  return fmt::format(
    "setting {} is \"{}\"; allowed: {}", aSetting, aValue, aAllowed);
}

} // namespace

std::string
EnvironmentNameOf(std::string_view aFlag)
{
  std::string name(kPrefix);
  std::transform(
    aFlag.begin(), aFlag.end(), std::back_inserter(name), [](char aChar) {
      return static_cast<char>(std::toupper(static_cast<unsigned char>(aChar)));
    });
  return name;
}

bool
ReadFlags(int* aArgc, char*** aArgv, std::string* aReason)
{
  std::vector<gflags::CommandLineFlagInfo> flags;
  gflags::GetAllFlags(&flags);
  for (const gflags::CommandLineFlagInfo& flag : flags) {
    const std::string variable = EnvironmentNameOf(flag.name);
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr) {
      continue;
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      if (aReason != nullptr) {
        *aReason = NotAllowed(variable, value, "a value of type " + flag.type);
      }
      return false;
    }
  }
  gflags::ParseCommandLineFlags(aArgc, aArgv, true);
  return true;
}

Duration
SecondsSetting(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

std::vector<std::string>
SplitSetting(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    parts.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view number = aText.substr(0, colon);
  const bool bracketed =
    number.size() > 2 && number.front() == '[' && number.back() == ']';
  if (bracketed) {
    number = number.substr(1, number.size() - 2);
  }
  const bool isIpv6 = number.find(':') != std::string_view::npos;
  const std::string_view port = aText.substr(colon + 1);
  SocketAddress address = { std::string(number), 0 };
  const auto [end, ec] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  const bool portFits = ec == std::errc() && end == port.data() + port.size();
  if (!portFits || isIpv6 != bracketed || !IsIpNumber(address.mNumber)) {
    return std::nullopt;
  }
  return address;
}

std::optional<std::string>
CheckSocketAddress(std::string_view aSetting, std::string_view aValue)
{
  if (ParseSocketAddress(aValue)) {
    return std::nullopt;
  }
  return NotAllowed(
    aSetting, aValue, "an IP number and a port, as 10.0.0.1:8080");
}

std::optional<std::string>
CheckIpNumber(std::string_view aSetting, std::string_view aValue)
{
  if (IsIpNumber(std::string(aValue))) {
    return std::nullopt;
  }
  return NotAllowed(aSetting, aValue, "an IP number, as 10.0.0.1");
}

std::optional<std::string>
CheckName(std::string_view aSetting, std::string_view aValue)
{
  const bool sizeFits = !aValue.empty() && aValue.size() <= kMaxNameSize;
  if (sizeFits && std::all_of(aValue.begin(), aValue.end(), IsNameChar)) {
    return std::nullopt;
  }
  return NotAllowed(
    aSetting,
    aValue,
    fmt::format("1 to {} letters, digits, '-', '_' and '.'", kMaxNameSize));
}

std::optional<std::string>
CheckRange(std::string_view aSetting,
           double aValue,
           double aLeast,
           double aMost)
{
  if (aValue >= aLeast && aValue <= aMost) {
    return std::nullopt;
  }
  return NotAllowed(aSetting,
                    fmt::format("{}", aValue),
                    fmt::format("{} to {}", aLeast, aMost));
}

std::optional<std::string>
ReadFileSetting(std::string_view aSetting,
                const std::string& aPath,
                std::string* aReason)
{
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (file.is_open() && !file.bad()) {
    return text;
  }
  if (aReason != nullptr) {
    *aReason = NotAllowed(aSetting, aPath, "a file that can be read");
  }
  return std::nullopt;
}

} // namespace peridothoist
