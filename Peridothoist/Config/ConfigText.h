/// Text forms that the configuration uses: durations with a unit, item names
/// and addresses. Pure functions, shared by the reader and by settings.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Reads a duration with its unit: us, ms, s, m, h or d, as "250ms" or "7d".
/// Empty when the number or the unit is missing, or it is out of range.
std::optional<Duration>
ParseDuration(std::string_view aText);

/// Writes a duration with the largest unit that keeps it exact.
std::string
FormatDuration(Duration aDuration);

/// True for 1 to 64 letters, digits, '-', '_' and '.'.
bool
IsItemName(std::string_view aText);

/// True for an IPv4 number or a bracketed IPv6 number, ':' and a port from 1
/// to 65535. Names of hosts are not addresses.
bool
IsAddress(std::string_view aText);

/// True for an absolute path of printable characters without query or space.
bool
IsUrlPath(std::string_view aText);

/// True for an even, positive number of lower-case hex digits.
bool
IsHex(std::string_view aText);

} // namespace peridothoist
