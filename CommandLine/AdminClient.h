/// Calls the operators' API of a control process and waits for the answer.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpClient.h>
#include <Peridothoist/Shell/Reactor.h>

#include <CommandLine/ExitCode.h>

#include <nlohmann/json.hpp>

namespace peridothoist::ctl {

/// An answer of the API, or why there is none.
struct AdminAnswer
{
  ExitCode mCode = ExitCode::Unreachable;
  int mStatus = 0;      ///< 0: no answer.
  nlohmann::json mBody; ///< Null when it is not JSON.
  std::string mFailure; ///< Why there is no answer.

  bool Ok() const { return mCode == ExitCode::Ok; }
};

/// Settings of an AdminClient.
struct AdminClientSettings
{
  std::vector<std::string> mControls; ///< "http://ip:port", tried in order.
  std::string mOperatorKey;
  Duration mTimeout = 15s; ///< For one call.
};

/// Makes one call at a time.
class AdminClient
{
public:
  using Settings = AdminClientSettings;

  /// Null when the system refuses a descriptor.
  static std::unique_ptr<AdminClient> Create(const Settings& aSettings);

  /// Calls the first control process that can be reached. A call that was
  /// sent is never sent to another one.
  AdminAnswer Call(const char* aMethod,
                   const std::string& aPath,
                   const nlohmann::json& aBody = nullptr);

  /// Lets aDelay pass.
  void Wait(Duration aDelay);

private:
  AdminClient(const Settings& aSettings,
              std::unique_ptr<Reactor> aReactor,
              std::unique_ptr<HttpClient> aClient);

  AdminAnswer CallOne(const std::string& aControl,
                      const char* aMethod,
                      const std::string& aPath,
                      const std::string& aBody);

  Settings mSettings;
  std::unique_ptr<Reactor> mReactor;
  std::unique_ptr<HttpClient> mClient;
};

} // namespace peridothoist::ctl
