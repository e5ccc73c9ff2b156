/// Splits a stream of server-sent events into single events, without any I/O.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Buffers received bytes and passes on complete events.
class EventSplitter
{
public:
  /// The stream is invalid when an event is longer than this.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

  /// Adds received bytes and calls aOnEvent for each complete event, including
  /// the blank line that ends it. Returns false when an event exceeds
  /// kMaxEventBytes.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aEvent)>& aOnEvent);

  /// Returns the number of bytes of an incomplete event.
  std::size_t PartialBytes() const { return mPartial.size(); }

  /// Returns the value of the first line "NAME:value" of an event, or an empty
  /// string when it has no such line.
  static std::string_view EventField(std::string_view aEvent,
                                     std::string_view aName);

  /// Returns the event's id, or nullopt when it has no id or the id isn't a
  /// number.
  static std::optional<std::uint64_t> ParseEventId(std::string_view aEvent);

private:
  std::string mPartial; ///< Bytes after the last complete event.
};

} // namespace peridothoist
