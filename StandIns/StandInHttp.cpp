/// JSON and HTTP helpers of the stand-ins.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/StandInHttp.h>

#include <charconv>

namespace peridothoist::standin {

Json
ParseObject(std::string_view aText)
{
  Json parsed = Json::parse(aText, nullptr, false);
  return parsed.is_object() ? parsed : Json::object();
}

std::string
StringField(const Json& aObject, const char* aName, const std::string& aDefault)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_string() ? it->get<std::string>()
                                                : aDefault;
}

std::uint64_t
UnsignedField(const Json& aObject, const char* aName, std::uint64_t aDefault)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_number_unsigned()
           ? it->get<std::uint64_t>()
           : aDefault;
}

double
DoubleField(const Json& aObject, const char* aName, double aDefault)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_number() ? it->get<double>() : aDefault;
}

bool
BoolField(const Json& aObject, const char* aName, bool aDefault)
{
  const auto it = aObject.find(aName);
  return it != aObject.end() && it->is_boolean() ? it->get<bool>() : aDefault;
}

std::string
QueryParameter(const HttpRequest& aRequest,
               const char* aName,
               const char* aDefault)
{
  const auto it = aRequest.mQuery.find(aName);
  return it == aRequest.mQuery.end() ? aDefault : it->second;
}

void
RespondJson(HttpExchange& aExchange, int aStatus, const Json& aBody)
{
  aExchange.Respond(aStatus,
                    { { "content-type", "application/json" } },
                    aBody.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void
CloseWithoutResponse(HttpExchange& aExchange)
{
  aExchange.AbortStream();
}

bool
MatchesCall(const HttpRequest& aRequest,
            const char* aMethod,
            std::string_view aPath)
{
  if (aRequest.mMethod != aMethod) {
    return false;
  }
  if (aPath.back() == '/') {
    return aRequest.mPath.compare(0, aPath.size(), aPath) == 0;
  }
  return aRequest.mPath == aPath;
}

std::optional<HttpServerSettings>
ParseListenAddress(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  HttpServerSettings settings;
  settings.mAddress = aAddress.substr(0, colon);
  const char* end = aAddress.data() + aAddress.size();
  const auto parsed =
    std::from_chars(aAddress.data() + colon + 1, end, settings.mPort);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  settings.mMaxBodyBytes = 64u << 20;
  settings.mIdleTimeout = 600s;
  return settings;
}

std::vector<std::string>
Split(const std::string& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    std::size_t end = aText.find(aSeparator, begin);
    if (end == std::string::npos) {
      end = aText.size();
    }
    parts.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  return parts;
}

void
OwnedTimers::Schedule(Duration aDelay, Reactor::Task aTask)
{
  mReactor.Schedule(aDelay, Guard(std::move(aTask)));
}

} // namespace peridothoist::standin
