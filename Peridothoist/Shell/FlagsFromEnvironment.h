/// Reads the settings of the programs from gflags on the command line and from
/// environment variables. Flag "peer_port" is also read from
/// PERIDOTHOIST_PEER_PORT; the command line takes precedence. The check
/// functions return an error text with the setting, its value and the allowed
/// values.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Sets flags from the environment, then from the command line, and removes the
/// flags from the arguments. Returns false and sets aReason when a value is
/// invalid.
bool
ReadFlags(int* aArgc, char*** aArgv, std::string* aReason);

/// Returns the name of the environment variable for a flag.
std::string
EnvironmentVariableOf(std::string_view aFlag);

/// Converts a setting in seconds to a duration.
Duration
DurationFromSeconds(double aSeconds);

/// Splits a setting at its commas. Returns an empty list for an empty setting.
std::vector<std::string>
SplitCommaSeparated(const std::string& aText);

/// An IP address and a port.
struct SocketAddress
{
  std::string mIp; ///< IPv4, or IPv6 without brackets.
  std::uint16_t mPort = 0;
};

/// Parses "ip:port" or "[ip6]:port". Returns nullopt when the text is neither.
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

// Checks of one setting. Each returns the error text, or nullopt when the value
// is valid.

/// Checks for "ip:port", with an IP address.
std::optional<std::string>
CheckSocketAddress(std::string_view aSetting, std::string_view aValue);

/// Checks for an IP address.
std::optional<std::string>
CheckIpAddress(std::string_view aSetting, std::string_view aValue);

/// Checks a name, such as that of a zone or VM: letters, digits, '-', '_' and
/// '.'.
std::optional<std::string>
CheckName(std::string_view aSetting, std::string_view aValue);

/// Checks for a number between two bounds, which are both allowed.
std::optional<std::string>
CheckRange(std::string_view aSetting, double aValue, double aMin, double aMax);

/// Returns the contents of the file that a setting names, such as a PEM file or
/// a secret. Returns nullopt and sets aReason when the file can't be read.
std::optional<std::string>
ReadFileSetting(std::string_view aSetting,
                const std::string& aPath,
                std::string* aReason);

} // namespace peridothoist
