/// Rules of HTTP/1.1 (RFC 9110 and 9112) for the heads of requests and of
/// responses alike.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <string_view>
#include <vector>

namespace peridothoist::detail {

constexpr std::string_view kLineEnd = "\r\n";

/// Returns whether the character is a space or a tab.
bool
IsBlank(char aChar);

std::string
ToLower(std::string_view aText);

/// Returns the text without blanks at its ends.
std::string_view
TrimBlanks(std::string_view aText);

/// Returns whether the text consists of decimal digits only and has one.
bool
IsNumber(std::string_view aText);

/// Returns whether the text is a token, such as the name of a header.
bool
IsToken(std::string_view aText);

/// Returns the elements of a list that is separated by commas, without blanks
/// round them and without the empty ones.
std::vector<std::string_view>
SplitList(std::string_view aText);

/// Returns the error of a line of a head, without its end; null: none. A line
/// that is folded into the next one, or that ends in anything but CR and LF, is
/// read differently by different programs. Bare CR and LF count as control
/// characters.
const char*
FindLineError(std::string_view aLine);

/// Returns the error of a line that is to be a header or a trailer, without its
/// end; null: none.
const char*
FindFieldError(std::string_view aLine);

} // namespace peridothoist::detail
