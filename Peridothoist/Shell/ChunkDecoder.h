/// Decodes bodies that are sent in chunks, by the grammar of RFC 9112.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <string>
#include <string_view>

namespace peridothoist::detail {

/// Returns the size that the first line of a chunk states, without the line's
/// end; nullopt if the line is malformed. Extensions are ignored.
std::optional<std::uint64_t>
ParseChunkSize(std::string_view aLine);

/// Decodes one body. Trailers are checked and dropped.
class ChunkDecoder
{
public:
  /// aMaxLineBytes: of one line with a chunk's size, and of all trailers
  /// together.
  explicit ChunkDecoder(std::size_t aMaxLineBytes);

  /// Decodes the next bytes up to the end of the body or to an error, and
  /// appends the data to aOut. Returns how many bytes are consumed.
  std::size_t Decode(std::string_view aBytes, std::string& aOut);

  /// Returns whether the last chunk and the trailers were complete.
  bool IsDone() const { return mState == State::Done; }
  /// Returns why the body is malformed; null: it isn't so far.
  const char* Error() const { return mError; }

private:
  /// What comes next.
  enum class State
  {
    Size,    ///< The line with the size of a chunk.
    Data,    ///< The data of a chunk.
    DataEnd, ///< The line end after the data.
    Trailer, ///< A trailer, or the empty line that ends the body.
    Done
  };

  std::size_t TakeLine(std::string_view aBytes);
  void OnLine(std::string_view aLine);

  const std::size_t mMaxLineBytes;
  State mState = State::Size;
  std::uint64_t mDataBytes = 0; ///< Left of the chunk.
  std::size_t mTrailerBytes = 0;
  std::string mLine; ///< The line so far, with a part of its end.
  const char* mError = nullptr;
};

} // namespace peridothoist::detail
