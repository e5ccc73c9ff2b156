#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpGrammar.h>

#include <algorithm>
#include <cctype>

namespace peridothoist::detail {

namespace {

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool
IsTokenCharacter(char aChar)
{
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z') ||
         kSymbols.find(aChar) != std::string_view::npos;
}

} // namespace

bool
IsBlank(char aChar)
{
  return aChar == ' ' || aChar == '\t';
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char aChar) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
  });
  return lower;
}

std::string_view
TrimBlanks(std::string_view aText)
{
  while (!aText.empty() && IsBlank(aText.front())) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && IsBlank(aText.back())) {
    aText.remove_suffix(1);
  }
  return aText;
}

bool
IsNumber(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsDigit);
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), IsTokenCharacter);
}

std::vector<std::string_view>
SplitList(std::string_view aText)
{
  std::vector<std::string_view> elements;
  while (!aText.empty()) {
    const std::string_view element = aText.substr(0, aText.find(','));
    aText.remove_prefix(std::min(aText.size(), element.size() + 1));
    if (!TrimBlanks(element).empty()) {
      elements.push_back(TrimBlanks(element));
    }
  }
  return elements;
}

const char*
FindLineError(std::string_view aLine)
{
  if (!aLine.empty() && IsBlank(aLine.front())) {
    return "a line of the head begins with a blank";
  }
  const bool hasControl =
    std::any_of(aLine.begin(), aLine.end(), [](char aChar) {
      return (aChar >= 0 && aChar < ' ' && aChar != '\t') || aChar == '\x7f';
    });
  return hasControl ? "the head has control characters" : nullptr;
}

const char*
FindFieldError(std::string_view aLine)
{
  if (const char* error = FindLineError(aLine)) {
    return error;
  }
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return "a line of the head is no header";
  }
  return IsToken(aLine.substr(0, colon)) ? nullptr
                                         : "the name of a header is no token";
}

} // namespace peridothoist::detail
