/// Parsers of text values in the configuration and in settings: durations with
/// a unit, item names and addresses. All functions are free of side effects.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Parses a duration with a unit (us, ms, s, m, h or d), such as "250ms" or
/// "7d". Returns nullopt if the number or the unit is missing or the duration
/// is out of range.
std::optional<Duration>
ParseDuration(std::string_view aText);

/// Formats a duration with the largest unit that represents it exactly.
std::string
FormatDuration(Duration aDuration);

/// Returns true for 1 to 64 letters, digits, '-', '_' and '.'.
bool
IsItemName(std::string_view aText);

/// Returns true for an IPv4 address or a bracketed IPv6 address followed by
/// ':' and a port from 1 to 65535. Host names are not accepted.
bool
IsAddress(std::string_view aText);

/// Returns true for an absolute path of printable characters without query,
/// fragment or space.
bool
IsUrlPath(std::string_view aText);

/// Returns true for an even, positive number of lower-case hex digits.
bool
IsHex(std::string_view aText);

} // namespace peridothoist
