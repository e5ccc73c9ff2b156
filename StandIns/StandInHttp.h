/// Helpers for the HTTP handlers of the stand-ins: JSON bodies, lost responses,
/// call tables, and timers that are bound to the lifetime of their owner.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

#include <nlohmann/json.hpp>

namespace peridothoist::standin {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Parses a JSON object. Returns an empty object if the text is not one.
Json
ParseObject(std::string_view aText);

/// Return a field of a JSON object, or a default if the field is missing or of
/// another type.
std::string
StringField(const Json& aObject,
            const char* aName,
            const std::string& aDefault = "");
std::uint64_t
UnsignedField(const Json& aObject,
              const char* aName,
              std::uint64_t aDefault = 0);
double
DoubleField(const Json& aObject, const char* aName, double aDefault = 0);
bool
BoolField(const Json& aObject, const char* aName, bool aDefault = false);

/// Returns a query parameter, or a default if it is missing.
std::string
QueryParameter(const HttpRequest& aRequest,
               const char* aName,
               const char* aDefault);

/// Responds with a JSON body.
void
RespondJson(HttpExchange& aExchange, int aStatus, const Json& aBody);

/// Closes the connection without a response.
void
CloseWithoutResponse(HttpExchange& aExchange);

/// Returns whether a request matches a call. A path that ends with '/' matches
/// all paths below it.
bool
MatchesCall(const HttpRequest& aRequest,
            const char* aMethod,
            std::string_view aPath);

/// Returns the entry of a call table (with mMethod and mPath) that a request
/// matches, or null.
template<class Call, std::size_t kCount>
const Call*
FindCall(const Call (&aCalls)[kCount], const HttpRequest& aRequest)
{
  for (const Call& it : aCalls) {
    if (MatchesCall(aRequest, it.mMethod, it.mPath)) {
      return &it;
    }
  }
  return nullptr;
}

/// Parses a listen address "ip:port". Returns nullopt if the text is malformed.
std::optional<HttpServerSettings>
ParseListenAddress(const std::string& aAddress);

/// Decrements a fault counter. Returns false if it is already zero.
inline bool
ConsumeFault(std::uint64_t& aCounter)
{
  if (aCounter == 0) {
    return false;
  }
  --aCounter;
  return true;
}

/// Splits a text at each separator. An empty last part is left out.
std::vector<std::string>
Split(const std::string& aText, char aSeparator);

/// Timers of one owner. No timer task runs after the owner is destroyed.
class OwnedTimers
{
public:
  explicit OwnedTimers(Reactor& aReactor)
    : mReactor(aReactor)
    , mLifetimeToken(std::make_shared<bool>(true))
  {
  }

  /// Runs aTask once after aDelay unless this object is destroyed before.
  void Schedule(Duration aDelay, Reactor::Task aTask);

  /// Wraps a callback so that it does nothing after this object is destroyed.
  template<class Callback>
  auto Guard(Callback aCallback) const
  {
    std::weak_ptr<bool> alive = mLifetimeToken;
    return [alive, callback = std::move(aCallback)](const auto&... aValues) {
      if (alive.lock()) {
        callback(aValues...);
      }
    };
  }

  TimePoint Now() const { return mReactor.Now(); }

private:
  Reactor& mReactor;
  std::shared_ptr<bool> mLifetimeToken; ///< Referenced weakly by timers.
};

} // namespace peridothoist::standin
