/// Splits a server-sent event stream into its events. Pure: bytes in, whole
/// events out, each with the blank line that ends it.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist {

/// Collects bytes and gives out whole events.
class EventSplitter
{
public:
  /// An event longer than this breaks the stream.
  static constexpr std::size_t kMaxEventBytes = 64 * 1024;

  /// Adds received bytes and hands out each whole event. Returns false when an
  /// event grew over the limit.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aEvent)>& aOnEvent);

  /// Bytes of an event that isn't whole.
  std::size_t Partial() const { return mPartial.size(); }

  /// The text after "NAME:" of an event's first line of that name.
  static std::string_view FieldOf(std::string_view aEvent,
                                  std::string_view aName);

  /// The event's id, when it has one and it is a number.
  static std::optional<std::uint64_t> IdOf(std::string_view aEvent);

private:
  std::string mPartial; ///< Bytes after the last whole event.
};

} // namespace peridothoist
