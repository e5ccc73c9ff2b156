/// Splits a server-sent event stream, as engines send it, into its events.
/// Pure: bytes in, "data" texts out.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Collects bytes and gives out whole events.
class EventStreamReader
{
public:
  /// An event longer than this breaks the stream.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

  /// Adds received bytes and hands each whole event's data to aOnData.
  /// Returns false when an event grew over the limit.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aData)>& aOnData);

private:
  std::string mPartial; ///< Bytes after the last whole event.
};

} // namespace peridothoist
