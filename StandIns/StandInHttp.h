/// What the stand-ins' HTTP handlers share: JSON in and out, answers that get
/// lost, and timers that end with their owner.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

#include <nlohmann/json.hpp>

namespace peridothoist::standin {

using Json = nlohmann::json;
using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Parses a JSON object; an empty object when the text is something else.
Json
ParseObject(std::string_view aText);

/// Fields of a JSON object, or a fallback when missing or of another type.
std::string
TextField(const Json& aObject,
          const char* aName,
          const std::string& aElse = "");
std::uint64_t
NumberField(const Json& aObject, const char* aName, std::uint64_t aElse = 0);
double
RealField(const Json& aObject, const char* aName, double aElse = 0);
bool
BoolField(const Json& aObject, const char* aName, bool aElse = false);

/// A query parameter, or a fallback.
std::string
QueryField(const HttpRequest& aRequest, const char* aName, const char* aElse);

/// Answers with a JSON body.
void
RespondJson(HttpExchange& aExchange, int aStatus, const Json& aBody);

/// Closes the connection without an answer.
void
CloseWithoutAnswer(HttpExchange& aExchange);

/// Whether a request is for a call. A call's path that ends with '/' stands
/// for all paths below it.
bool
IsFor(const HttpRequest& aRequest, const char* aMethod, std::string_view aPath);

/// The entry of a table of calls (with mMethod and mPath) that a request is
/// for, or null.
template<class Call, std::size_t kCount>
const Call*
FindCall(const Call (&aCalls)[kCount], const HttpRequest& aRequest)
{
  for (const Call& it : aCalls) {
    if (IsFor(aRequest, it.mMethod, it.mPath)) {
      return &it;
    }
  }
  return nullptr;
}

/// Where to listen, out of "ip:port". Empty when it is something else.
std::optional<HttpServerSettings>
ListenSettings(const std::string& aAddress);

/// Takes one from a counter of faults; false when there is none left.
inline bool
TakeFault(std::uint64_t& aCounter)
{
  if (aCounter == 0) {
    return false;
  }
  --aCounter;
  return true;
}

/// Splits a text at a separator.
std::vector<std::string>
Split(const std::string& aText, char aSeparator);

/// Timers of one owner: none runs after the owner is gone.
class OwnedTimers
{
public:
  explicit OwnedTimers(Reactor& aReactor)
    : mReactor(aReactor)
    , mAlive(std::make_shared<bool>(true))
  {
  }

  /// Runs aTask once, aDelay from now, unless this object is gone by then.
  void After(Duration aDelay, Reactor::Task aTask);

  /// Wraps a callback so that it does nothing once this object is gone.
  template<class Callback>
  auto Guard(Callback aCallback) const
  {
    std::weak_ptr<bool> alive = mAlive;
    return [alive, callback = std::move(aCallback)](const auto&... aValues) {
      if (alive.lock()) {
        callback(aValues...);
      }
    };
  }

  TimePoint Now() const { return mReactor.Now(); }

private:
  Reactor& mReactor;
  std::shared_ptr<bool> mAlive; ///< Timers hold it weakly.
};

} // namespace peridothoist::standin
