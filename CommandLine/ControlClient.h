/// Calls the control processes' admin API for the command line, one call at a
/// time: the addresses are tried in order until one answers.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

/// One answer.
struct ControlAnswer
{
  int mStatus = 0;       ///< 0: nobody answered.
  nlohmann::json mBody;  ///< An object.
  bool mInDoubt = false; ///< Sent, and the answer was lost.
  std::string mText;     ///< Why nobody answered.

  bool Ok() const { return mStatus == 200; }
};

/// What a call is.
struct ControlCall
{
  std::string mMethod = "GET";
  std::string mPath;
  nlohmann::json mBody; ///< Null: none.
};

/// Makes calls; commands take it, so that tests can put their own in place.
class ControlCaller
{
public:
  virtual ~ControlCaller() = default;
  virtual ControlAnswer Call(const ControlCall& aCall) = 0;
};

/// Where and as whom to call.
struct ControlClientSettings
{
  std::vector<std::string> mControls; ///< "http://ip:port" each.
  std::string mOperatorKey;
  Duration mConnectTimeout = std::chrono::seconds(2);
  Duration mTotalTimeout = std::chrono::seconds(10);
};

/// Calls over libcurl. A call that changes something is not sent again once a
/// byte of it may have arrived.
class ControlClient : public ControlCaller
{
public:
  using Settings = ControlClientSettings;

  explicit ControlClient(const Settings& aSettings);
  ~ControlClient() override;
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  // See: ControlCaller
  ControlAnswer Call(const ControlCall& aCall) override;

private:
  ControlAnswer CallOne(const std::string& aControl, const ControlCall& aCall);

  Settings mSettings;
};

} // namespace peridothoist
