/// The stand-ins' bounded record of what they received and ran, for tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <deque>

namespace peridothoist::standin {

/// Keeps the newest requests and runs, as JSON.
class RequestLog
{
public:
  /// Notes a request as received, with every header.
  void Received(TimePoint aNow, const HttpRequest& aRequest);

  /// Notes that aWhat ("prefill", "decode", ...) was run under aRequest.
  void Ran(TimePoint aNow,
           const std::string& aWhat,
           const std::string& aRequest);

  /// Both lists, oldest first, as a JSON object.
  std::string ToJson() const;

private:
  std::deque<std::string> mReceived; ///< JSON objects, at most kMaxEntries.
  std::deque<std::string> mRan;      ///< JSON objects, at most kMaxEntries.
};

} // namespace peridothoist::standin
