/// Reads the settings of the programs from gflags on the command line and from
/// environment variables.
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

constexpr std::string_view kVariablePrefix = "PERIDOTHOIST_";
constexpr std::size_t kMaxNameSize = 63;

bool
IsIpAddress(const std::string& aText)
{
  in6_addr ip = {};
  return ::inet_pton(AF_INET, aText.c_str(), &ip) == 1 ||
         ::inet_pton(AF_INET6, aText.c_str(), &ip) == 1;
}

bool
IsNameChar(char aChar)
{
  return std::isalnum(static_cast<unsigned char>(aChar)) != 0 || aChar == '-' ||
         aChar == '_' || aChar == '.';
}

std::string
MakeSettingError(std::string_view aSetting,
                 std::string_view aValue,
                 std::string_view aAllowed)
{
  return fmt::format(
    "setting {} is \"{}\"; allowed: {}", aSetting, aValue, aAllowed);
}

} // namespace

std::string
EnvironmentVariableOf(std::string_view aFlag)
{
  std::string name(kVariablePrefix);
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
    const std::string variable = EnvironmentVariableOf(flag.name);
    const char* value = std::getenv(variable.c_str());
    if (value == nullptr) {
      continue;
    }
    if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
      if (aReason != nullptr) {
        *aReason =
          MakeSettingError(variable, value, "a value of type " + flag.type);
      }
      return false;
    }
  }
  gflags::ParseCommandLineFlags(aArgc, aArgv, true);
  return true;
}

Duration
DurationFromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

std::vector<std::string>
SplitCommaSeparated(const std::string& aText)
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
  std::string_view ip = aText.substr(0, colon);
  const bool isBracketed =
    ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (isBracketed) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const bool isIpv6 = ip.find(':') != std::string_view::npos;
  const std::string_view port = aText.substr(colon + 1);
  SocketAddress address = { std::string(ip), 0 };
  const auto [end, ec] =
    std::from_chars(port.data(), port.data() + port.size(), address.mPort);
  const bool isPortValid =
    ec == std::errc() && end == port.data() + port.size();
  if (!isPortValid || isIpv6 != isBracketed || !IsIpAddress(address.mIp)) {
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
  return MakeSettingError(
    aSetting, aValue, "an IP address and a port, such as 10.0.0.1:8080");
}

std::optional<std::string>
CheckIpAddress(std::string_view aSetting, std::string_view aValue)
{
  if (IsIpAddress(std::string(aValue))) {
    return std::nullopt;
  }
  return MakeSettingError(aSetting, aValue, "an IP address, such as 10.0.0.1");
}

std::optional<std::string>
CheckName(std::string_view aSetting, std::string_view aValue)
{
  const bool isSizeValid = !aValue.empty() && aValue.size() <= kMaxNameSize;
  if (isSizeValid && std::all_of(aValue.begin(), aValue.end(), IsNameChar)) {
    return std::nullopt;
  }
  return MakeSettingError(
    aSetting,
    aValue,
    fmt::format("1 to {} letters, digits, '-', '_' and '.'", kMaxNameSize));
}

std::optional<std::string>
CheckRange(std::string_view aSetting, double aValue, double aMin, double aMax)
{
  if (aValue >= aMin && aValue <= aMax) {
    return std::nullopt;
  }
  return MakeSettingError(
    aSetting, fmt::format("{}", aValue), fmt::format("{} to {}", aMin, aMax));
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
    *aReason = MakeSettingError(aSetting, aPath, "a readable file");
  }
  return std::nullopt;
}

} // namespace peridothoist
