/// Client of the control processes' admin API for the command line. Sends one
/// request at a time and tries the addresses in order until one responds.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

#include <nlohmann/json.hpp>

namespace peridothoist {

/// A response of the admin API, or the reason why there is none.
struct ControlResponse
{
  int mStatus = 0;         ///< HTTP status; 0: no response.
  nlohmann::json mBody;    ///< Always an object if there is a response.
  bool mIsInDoubt = false; ///< Sent, but the response was lost.
  std::string mText;       ///< Why there is no response.

  bool IsSuccess() const { return mStatus == 200; }
};

/// A request to the admin API.
struct ControlRequest
{
  std::string mMethod = "GET";
  std::string mPath;
  nlohmann::json mBody; ///< Null: no body.
};

/// Sends requests to the admin API; tests use a fake implementation.
class ControlTransport
{
public:
  virtual ~ControlTransport() = default;
  virtual ControlResponse Send(const ControlRequest& aRequest) = 0;
};

/// Addresses, credentials and timeouts of a ControlClient.
struct ControlClientSettings
{
  std::vector<std::string> mControls; ///< "http://ip:port" each.
  std::string mOperatorKey;
  Duration mConnectTimeout = std::chrono::seconds(2);
  Duration mTotalTimeout = std::chrono::seconds(10);
};

/// Sends requests with HttpClient. A request that changes something is not
/// retried once a byte of it may have arrived.
class ControlClient : public ControlTransport
{
public:
  using Settings = ControlClientSettings;

  explicit ControlClient(const Settings& aSettings);

  // See: ControlTransport
  ControlResponse Send(const ControlRequest& aRequest) override;

private:
  ControlResponse SendTo(const std::string& aControl,
                         const ControlRequest& aRequest) const;

  Settings mSettings;
};

} // namespace peridothoist
