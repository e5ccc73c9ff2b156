/// Reads requests by the letter of RFC 9112, without leniency and in a way of
/// its own. Tests compare what the server has accepted with it.
#pragma once

#include <Peridothoist/Peridothoist.h>

#include <algorithm>
#include <string>
#include <vector>

namespace peridothoist::test {

/// The parts of a request that decide what runs.
struct StrictRequest
{
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::size_t mHeaderLines = 0;
};

/// Reads one request after the other.
class StrictRequestReader
{
public:
  explicit StrictRequestReader(std::string aBytes)
    : mBytes(std::move(aBytes))
  {
  }

  /// Returns the requests up to the first that is incomplete or malformed.
  std::vector<StrictRequest> ReadAll()
  {
    std::vector<StrictRequest> requests;
    while (const auto request = ReadOne()) {
      requests.push_back(*request);
    }
    return requests;
  }

private:
  std::optional<std::string> ReadLine()
  {
    const auto end = mBytes.find("\r\n", mAt);
    if (end == std::string::npos) {
      return std::nullopt;
    }
    std::string line = mBytes.substr(mAt, end - mAt);
    mAt = end + 2;
    const bool isPlain = std::none_of(line.begin(), line.end(), [](char aIt) {
      return (aIt >= 0 && aIt < ' ' && aIt != '\t') || aIt == '\x7f';
    });
    return isPlain ? std::optional<std::string>(line) : std::nullopt;
  }

  std::optional<std::string> ReadBytes(std::size_t aCount)
  {
    if (mBytes.size() - mAt < aCount) {
      return std::nullopt;
    }
    mAt += aCount;
    return mBytes.substr(mAt - aCount, aCount);
  }

  static bool IsNumber(const std::string& aText, const char* aDigits)
  {
    return !aText.empty() && aText.size() < 16 &&
           aText.find_first_not_of(aDigits) == std::string::npos;
  }

  std::optional<StrictRequest> ReadOne()
  {
    std::optional<std::string> line = ReadLine();
    while (line && line->empty()) {
      line = ReadLine();
    }
    const auto first = line ? line->find(' ') : std::string::npos;
    const auto last = line ? line->rfind(' ') : std::string::npos;
    if (first == std::string::npos || first == last) {
      return std::nullopt;
    }
    StrictRequest request;
    request.mMethod = line->substr(0, first);
    request.mTarget = line->substr(first + 1, last - first - 1);
    return ReadHeaders(request) ? std::optional<StrictRequest>(request)
                                : std::nullopt;
  }

  bool ReadHeaders(StrictRequest& aRequest)
  {
    std::string length;
    std::string encoding;
    for (auto line = ReadLine();; line = ReadLine()) {
      if (!line || line->find(':') == 0 ||
          (!line->empty() && line->find(':') == std::string::npos)) {
        return false;
      }
      if (line->empty()) {
        break;
      }
      ++aRequest.mHeaderLines;
      std::string name = line->substr(0, line->find(':'));
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      if (name.find_first_of(" \t") != std::string::npos) {
        return false;
      }
      std::string value = line->substr(line->find(':') + 1);
      value.erase(0, std::min(value.find_first_not_of(" \t"), value.size()));
      value.erase(value.find_last_not_of(" \t") + 1);
      std::string* single = name == "content-length"      ? &length
                            : name == "transfer-encoding" ? &encoding
                                                          : nullptr;
      if (single != nullptr && (!single->empty() || value.empty())) {
        return false;
      }
      if (single != nullptr) {
        *single = value;
      }
    }
    if (!encoding.empty()) {
      return length.empty() && ReadChunks(aRequest.mBody);
    }
    if (length.empty()) {
      return true;
    }
    const auto body = IsNumber(length, "0123456789")
                        ? ReadBytes(std::stoull(length))
                        : std::nullopt;
    aRequest.mBody = body.value_or("");
    return body.has_value();
  }

  bool ReadChunks(std::string& aBody)
  {
    while (true) {
      const auto line = ReadLine();
      const std::string size = line ? line->substr(0, line->find(';')) : "";
      if (!IsNumber(size, "0123456789abcdefABCDEF")) {
        return false;
      }
      const std::size_t count = std::stoull(size, nullptr, 16);
      if (count == 0) {
        return ReadTrailers();
      }
      const auto data = ReadBytes(count);
      const auto end = ReadBytes(2);
      if (!data || end != "\r\n") {
        return false;
      }
      aBody += *data;
    }
  }

  bool ReadTrailers()
  {
    auto line = ReadLine();
    while (line && !line->empty()) {
      line = ReadLine();
    }
    return line.has_value();
  }

  std::string mBytes;
  std::size_t mAt = 0;
};

} // namespace peridothoist::test
