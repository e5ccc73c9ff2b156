#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntrySettings.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

namespace peridothoist {

namespace {

constexpr std::string_view kHttpScheme = "http://";

using ErrorText = std::optional<std::string>;

ErrorText
CheckIdentityAndAddresses(const EntrySettings& aSettings)
{
  if (ErrorText error = CheckName("vm", aSettings.mVm)) {
    return error;
  }
  if (ErrorText error = CheckName("zone", aSettings.mZone)) {
    return error;
  }
  if (ErrorText error = CheckSocketAddress("listen", aSettings.mListen)) {
    return error;
  }
  return CheckSocketAddress("peer_listen", aSettings.mPeerListen);
}

ErrorText
CheckControls(const EntrySettings& aSettings)
{
  if (aSettings.mControls.empty()) {
    return "control: is empty; allowed: a comma-separated list of ip:port";
  }
  for (const std::string& control : aSettings.mControls) {
    if (ErrorText error = CheckSocketAddress("control", control)) {
      return error;
    }
  }
  return std::nullopt;
}

ErrorText
CheckPlatform(const EntrySettings& aSettings)
{
  const std::string& url = aSettings.mPlatform;
  const bool isHttp = url.rfind(kHttpScheme, 0) == 0;
  if (isHttp && !CheckSocketAddress("", url.substr(kHttpScheme.size()))) {
    return std::nullopt;
  }
  return "platform: \"" + url + "\"; allowed: http://ip:port";
}

ErrorText
CheckCertificatePaths(const EntrySettings& aSettings)
{
  if (aSettings.mCertificate.empty() != aSettings.mPrivateKey.empty()) {
    return "certificate, private_key: only one of the two is set; "
           "allowed: both or none";
  }
  const bool hasAnyPeerFile = !aSettings.mPeerCertificate.empty() ||
                              !aSettings.mPeerPrivateKey.empty() ||
                              !aSettings.mPeerCa.empty();
  const bool hasAllPeerFiles = !aSettings.mPeerCertificate.empty() &&
                               !aSettings.mPeerPrivateKey.empty() &&
                               !aSettings.mPeerCa.empty();
  if (hasAnyPeerFile && !hasAllPeerFiles) {
    return "peer_certificate, peer_private_key, peer_ca: some are missing; "
           "allowed: all three or none";
  }
  return std::nullopt;
}

ErrorText
CheckRanges(const EntrySettings& aSettings)
{
  const auto seconds = [](Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  if (ErrorText error =
        CheckRange("idle_timeout", seconds(aSettings.mIdleTimeout), 1, 3600)) {
    return error;
  }
  if (ErrorText error = CheckRange(
        "entries_max_age", seconds(aSettings.mEntriesMaxAge), 1, 300)) {
    return error;
  }
  return CheckRange("trace_sampling", aSettings.mTraceSampling, 0, 1);
}

} // namespace

std::optional<Reason>
EntrySettings::Check() const
{
  using CheckFunction = ErrorText (*)(const EntrySettings&);
  static constexpr CheckFunction kChecks[] = { &CheckIdentityAndAddresses,
                                               &CheckControls,
                                               &CheckPlatform,
                                               &CheckCertificatePaths,
                                               &CheckRanges };
  for (const CheckFunction check : kChecks) {
    if (ErrorText error = check(*this)) {
      return Reason{ ReasonCode::Invalid, *error };
    }
  }
  return std::nullopt;
}

} // namespace peridothoist
