/// Reads the data of a server-sent event stream, as engines send it. Pure:
/// bytes in, "data" texts out.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/EventSplitter.h>

namespace peridothoist {

/// Collects bytes and gives out the data of whole events.
class EventStreamReader
{
public:
  /// An event longer than this breaks the stream.
  static constexpr std::size_t kMaxEventBytes = EventSplitter::kMaxEventBytes;

  /// Adds received bytes and hands each whole event's data to aOnData.
  /// Returns false when an event grew over the limit.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aData)>& aOnData);

private:
  EventSplitter mSplitter;
};

} // namespace peridothoist
