/// Settings of the programs: gflags on the command line, or environment
/// variables. Flag "peer_port" is also read from PERIDOTHOIST_PEER_PORT; the
/// command line goes first. Checkers say in one sentence which setting is
/// wrong, what it was and what is allowed.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Reads flags from the environment, then from the command line; takes the
/// flags out of the arguments. False with aReason when a value doesn't fit.
bool
ReadFlags(int* aArgc, char*** aArgv, std::string* aReason);

/// The environment variable of a flag.
std::string
EnvironmentNameOf(std::string_view aFlag);

/// A setting's number of seconds as a span of time.
Duration
SecondsSetting(double aSeconds);

/// The parts of a setting that are divided by commas; none when it is empty.
std::vector<std::string>
SplitSetting(const std::string& aText);

/// An IP number and a port.
struct SocketAddress
{
  std::string mNumber; ///< IPv4, or IPv6 without brackets.
  std::uint16_t mPort = 0;
};

/// Reads "ip:port" or "[ip6]:port"; empty when it is neither.
std::optional<SocketAddress>
ParseSocketAddress(std::string_view aText);

// Checks of one setting: the error, or nothing when the value is good.

/// "ip:port", with an IP number.
std::optional<std::string>
CheckSocketAddress(std::string_view aSetting, std::string_view aValue);

/// An IP number.
std::optional<std::string>
CheckIpNumber(std::string_view aSetting, std::string_view aValue);

/// A name of a zone, VM or the like: letters, digits, '-', '_' and '.'.
std::optional<std::string>
CheckName(std::string_view aSetting, std::string_view aValue);

/// A number between two bounds, both included.
std::optional<std::string>
CheckRange(std::string_view aSetting,
           double aValue,
           double aLeast,
           double aMost);

/// The contents of a file named by a setting, as PEM or a secret; empty with
/// aReason when it can't be read.
std::optional<std::string>
ReadFileSetting(std::string_view aSetting,
                const std::string& aPath,
                std::string* aReason);

} // namespace peridothoist
