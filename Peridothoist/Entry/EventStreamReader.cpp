#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EventStreamReader.h>

namespace peridothoist {

bool
EventStreamReader::Feed(
  std::string_view aBytes,
  const std::function<void(std::string_view aData)>& aOnData)
{
  return mSplitter.Feed(aBytes, [&](std::string_view aEvent) {
    const std::string_view data = EventSplitter::EventField(aEvent, "data");
    if (!data.empty()) {
      aOnData(data);
    }
  });
}

} // namespace peridothoist
