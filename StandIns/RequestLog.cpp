/// Entries are stored as JSON text, since they are only written out.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/RequestLog.h>

#include <nlohmann/json.hpp>

namespace peridothoist::standin {

namespace {

constexpr std::size_t kMaxEntries = 20000;
constexpr std::size_t kMaxBodyBytes = 1024;

void
Append(std::deque<std::string>& aList, const nlohmann::json& aEntry)
{
  aList.push_back(
    aEntry.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (aList.size() > kMaxEntries) {
    aList.pop_front();
  }
}

std::string
Join(const std::deque<std::string>& aList)
{
  std::string text = "[";
  for (const std::string& it : aList) {
    if (text.size() > 1) {
      text += ',';
    }
    text += it;
  }
  return text + "]";
}

std::int64_t
Milliseconds(TimePoint aNow)
{
  return aNow.time_since_epoch() / 1ms;
}

} // namespace

void
RequestLog::AddReceived(TimePoint aNow, const HttpRequest& aRequest)
{
  Append(mReceived,
         { { "at_ms", Milliseconds(aNow) },
           { "method", aRequest.mMethod },
           { "path", aRequest.mPath },
           { "query", aRequest.mQuery },
           { "headers", aRequest.mHeaders },
           { "body", aRequest.mBody.substr(0, kMaxBodyBytes) } });
}

void
RequestLog::AddExecuted(TimePoint aNow,
                        const std::string& aOperation,
                        const std::string& aRequest)
{
  Append(mExecuted,
         { { "at_ms", Milliseconds(aNow) },
           { "what", aOperation },
           { "request", aRequest } });
}

std::string
RequestLog::ToJson() const
{
  return R"({"received":)" + Join(mReceived) + R"(,"ran":)" + Join(mExecuted) +
         "}";
}

} // namespace peridothoist::standin
