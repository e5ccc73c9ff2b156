#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EventStreamReader.h>

namespace peridothoist {

namespace {

constexpr std::string_view kDataField = "data:";
constexpr std::string_view kEventEnd = "\n\n";

/// The text after "data:" of an event's first data line.
std::string_view
DataOf(std::string_view aEvent)
{
  const std::size_t at = aEvent.find(kDataField);
  if (at == std::string_view::npos) {
    return {};
  }
  std::string_view data = aEvent.substr(at + kDataField.size());
  data = data.substr(0, data.find('\n'));
  if (!data.empty() && data.front() == ' ') {
    data.remove_prefix(1);
  }
  return data;
}

} // namespace

bool
EventStreamReader::Feed(
  std::string_view aBytes,
  const std::function<void(std::string_view aData)>& aOnData)
{
  mPartial.append(aBytes);
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = mPartial.find(kEventEnd, start);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event(mPartial.data() + start, end - start);
    const std::string_view data = DataOf(event);
    if (!data.empty()) {
      aOnData(data);
    }
    start = end + kEventEnd.size();
  }
  mPartial.erase(0, start);
  return mPartial.size() <= kMaxEventBytes;
}

} // namespace peridothoist
