/// Bounded log of the requests that a stand-in received and the operations that
/// it executed, for tests.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <deque>

namespace peridothoist::standin {

/// Stores the most recent requests and executed operations as JSON.
class RequestLog
{
public:
  /// Records a received request with all its headers.
  void AddReceived(TimePoint aNow, const HttpRequest& aRequest);

  /// Records that aOperation ("prefill", "decode", ...) was executed for
  /// request id aRequest.
  void AddExecuted(TimePoint aNow,
                   const std::string& aOperation,
                   const std::string& aRequest);

  /// Returns both lists, oldest entries first, as a JSON object.
  std::string ToJson() const;

private:
  std::deque<std::string> mReceived; ///< JSON objects, at most kMaxEntries.
  std::deque<std::string> mExecuted; ///< JSON objects, at most kMaxEntries.
};

} // namespace peridothoist::standin
