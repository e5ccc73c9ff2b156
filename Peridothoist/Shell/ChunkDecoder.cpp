#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/ChunkDecoder.h>

#include <Peridothoist/Shell/HttpGrammar.h>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace peridothoist::detail {

namespace {

constexpr int kHexadecimal = 16;
constexpr std::size_t kMaxSizeDigits = 16;

void
SkipBlanks(std::string_view& aText)
{
  while (!aText.empty() && IsBlank(aText.front())) {
    aText.remove_prefix(1);
  }
}

/// Skips a character. Returns whether the text began with it.
bool
Skip(std::string_view& aText, char aChar)
{
  if (aText.empty() || aText.front() != aChar) {
    return false;
  }
  aText.remove_prefix(1);
  return true;
}

/// Skips a token. Returns whether the text began with one.
bool
SkipToken(std::string_view& aText)
{
  std::size_t n = 0;
  while (n < aText.size() && IsToken(aText.substr(n, 1))) {
    ++n;
  }
  aText.remove_prefix(n);
  return n > 0;
}

/// Skips a quoted string. Returns whether the text began with one.
bool
SkipQuoted(std::string_view& aText)
{
  if (!Skip(aText, '"')) {
    return false;
  }
  while (!aText.empty() && aText.front() != '"') {
    const std::size_t n = aText.front() == '\\' ? 2 : 1;
    aText.remove_prefix(std::min(aText.size(), n));
  }
  return Skip(aText, '"');
}

/// Returns whether the text consists of the extensions of a chunk, such as
/// ;a;b=1;c="x y". Control characters are to be excluded before.
bool
AreExtensions(std::string_view aText)
{
  while (!aText.empty()) {
    SkipBlanks(aText);
    if (!Skip(aText, ';')) {
      return false;
    }
    SkipBlanks(aText);
    if (!SkipToken(aText)) {
      return false;
    }
    std::string_view value = aText;
    SkipBlanks(value);
    if (!Skip(value, '=')) {
      continue;
    }
    SkipBlanks(value);
    if (!SkipToken(value) && !SkipQuoted(value)) {
      return false;
    }
    aText = value;
  }
  return true;
}

} // namespace

std::optional<std::uint64_t>
ParseChunkSize(std::string_view aLine)
{
  const auto end =
    std::find_if_not(aLine.begin(), aLine.end(), [](unsigned char aChar) {
      return std::isxdigit(aChar) != 0;
    });
  const auto n = static_cast<std::size_t>(end - aLine.begin());
  const bool isWellFormed = n > 0 && n <= kMaxSizeDigits &&
                            FindLineError(aLine) == nullptr &&
                            AreExtensions(aLine.substr(n));
  if (!isWellFormed) {
    return std::nullopt;
  }
  std::uint64_t size = 0;
  std::from_chars(aLine.data(), aLine.data() + n, size, kHexadecimal);
  return size;
}

ChunkDecoder::ChunkDecoder(std::size_t aMaxLineBytes)
  : mMaxLineBytes(aMaxLineBytes)
{
}

std::size_t
ChunkDecoder::Decode(std::string_view aBytes, std::string& aOut)
{
  std::size_t consumed = 0;
  while (consumed < aBytes.size() && mError == nullptr && !IsDone()) {
    const std::string_view rest = aBytes.substr(consumed);
    if (mState != State::Data) {
      consumed += TakeLine(rest);
      continue;
    }
    const std::size_t n = std::min<std::uint64_t>(rest.size(), mDataBytes);
    aOut += rest.substr(0, n);
    consumed += n;
    mDataBytes -= n;
    mState = mDataBytes == 0 ? State::DataEnd : State::Data;
  }
  return consumed;
}

/// Takes bytes up to the end of a line. Returns how many.
std::size_t
ChunkDecoder::TakeLine(std::string_view aBytes)
{
  const std::size_t n =
    std::min(aBytes.size(), std::min(aBytes.find('\n'), aBytes.size()) + 1);
  mLine += aBytes.substr(0, n);
  if (mLine.size() + mTrailerBytes > mMaxLineBytes) {
    mError = "a line between chunks, or the trailers, are too long";
    return n;
  }
  const bool isDataEnd = mState == State::DataEnd;
  if (isDataEnd && kLineEnd.substr(0, mLine.size()) != mLine) {
    mError = "a chunk is longer than its size";
    return n;
  }
  if (mLine.back() != '\n') {
    return n;
  }
  const std::string line = std::exchange(mLine, std::string());
  const std::size_t size = line.size() - std::min(line.size(), kLineEnd.size());
  if (line.substr(size) != kLineEnd) {
    mError = "a line between chunks does not end in CR and LF";
    return n;
  }
  OnLine(std::string_view(line).substr(0, size));
  return n;
}

void
ChunkDecoder::OnLine(std::string_view aLine)
{
  if (mState == State::Size) {
    const auto size = ParseChunkSize(aLine);
    mError = size ? nullptr : "the size of a chunk is malformed";
    mDataBytes = size.value_or(0);
    mState = mDataBytes > 0 ? State::Data : State::Trailer;
  } else if (mState == State::DataEnd) {
    mState = State::Size;
  } else if (aLine.empty()) {
    mState = State::Done;
  } else {
    mTrailerBytes += aLine.size() + kLineEnd.size();
    mError = FindFieldError(aLine);
  }
}

} // namespace peridothoist::detail
