/// Parses the server-sent event streams of engines. Performs no I/O.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/EventSplitter.h>

namespace peridothoist {

/// Splits a byte stream into events and reports the "data" field of each.
class EventStreamReader
{
public:
  /// A longer event is an error.
  static constexpr std::size_t kMaxEventBytes = EventSplitter::kMaxEventBytes;

  /// Appends received bytes and calls aOnData with the data of each complete
  /// event. Returns false when an event exceeds kMaxEventBytes.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aData)>& aOnData);

private:
  EventSplitter mSplitter;
};

} // namespace peridothoist
