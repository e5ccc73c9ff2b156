#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/EventSplitter.h>

#include <charconv>

namespace peridothoist {

namespace {

/// Returns the position after the blank line that ends the first event in
/// aText at or after aFrom, or npos when no event is complete.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  const std::size_t lfPosition = aText.find("\n\n", aFrom);
  const std::size_t crlfPosition = aText.find("\r\n\r\n", aFrom);
  if (crlfPosition < lfPosition) {
    return crlfPosition + 4;
  }
  return lfPosition == std::string_view::npos ? lfPosition : lfPosition + 2;
}

} // namespace

bool
EventSplitter::Feed(
  std::string_view aBytes,
  const std::function<void(std::string_view aEvent)>& aOnEvent)
{
  mPartial.append(aBytes);
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = FindEventEnd(mPartial, start);
    if (end == std::string::npos) {
      break;
    }
    aOnEvent(std::string_view(mPartial).substr(start, end - start));
    start = end;
  }
  mPartial.erase(0, start);
  return mPartial.size() <= kMaxEventBytes;
}

std::string_view
EventSplitter::EventField(std::string_view aEvent, std::string_view aName)
{
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    const bool hasName = line.size() > aName.size() &&
                         line.substr(0, aName.size()) == aName &&
                         line[aName.size()] == ':';
    if (!hasName) {
      continue;
    }
    line.remove_prefix(aName.size() + 1);
    if (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    return line;
  }
  return {};
}

std::optional<std::uint64_t>
EventSplitter::ParseEventId(std::string_view aEvent)
{
  const std::string_view text = EventField(aEvent, "id");
  std::uint64_t id = 0;
  const auto [end, ec] =
    std::from_chars(text.data(), text.data() + text.size(), id);
  const bool isNumber =
    !text.empty() && ec == std::errc() && end == text.data() + text.size();
  return isNumber ? std::optional<std::uint64_t>(id) : std::nullopt;
}

} // namespace peridothoist
