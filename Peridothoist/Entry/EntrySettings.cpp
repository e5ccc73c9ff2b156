#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntrySettings.h>

#include <Peridothoist/Shell/FlagsFromEnvironment.h>

namespace peridothoist {

namespace {

constexpr std::string_view kHttpScheme = "http://";

using Fault = std::optional<std::string>;

Fault
CheckIdentityAndAddresses(const EntrySettings& aSettings)
{
  if (Fault fault = CheckName("vm", aSettings.mVm)) {
    return fault;
  }
  if (Fault fault = CheckName("zone", aSettings.mZone)) {
    return fault;
  }
  if (Fault fault = CheckSocketAddress("listen", aSettings.mListen)) {
    return fault;
  }
  return CheckSocketAddress("peer_listen", aSettings.mPeerListen);
}

Fault
CheckControls(const EntrySettings& aSettings)
{
  if (aSettings.mControls.empty()) {
    return "control: is empty; allowed: a comma-separated list of ip:port";
  }
  for (const std::string& control : aSettings.mControls) {
    if (Fault fault = CheckSocketAddress("control", control)) {
      return fault;
    }
  }
  return std::nullopt;
}

Fault
CheckPlatform(const EntrySettings& aSettings)
{
  const std::string& url = aSettings.mPlatform;
  const bool isHttp = url.rfind(kHttpScheme, 0) == 0;
  if (isHttp && !CheckSocketAddress("", url.substr(kHttpScheme.size()))) {
    return std::nullopt;
  }
  return "platform: \"" + url + "\"; allowed: http://ip:port";
}

Fault
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

Fault
CheckRanges(const EntrySettings& aSettings)
{
  const auto seconds = [](Duration aDuration) {
    return std::chrono::duration<double>(aDuration).count();
  };
  if (Fault fault =
        CheckRange("idle_timeout", seconds(aSettings.mIdleTimeout), 1, 3600)) {
    return fault;
  }
  if (Fault fault = CheckRange(
        "entries_max_age", seconds(aSettings.mEntriesMaxAge), 1, 300)) {
    return fault;
  }
  return CheckRange("trace_sampling", aSettings.mTraceSampling, 0, 1);
}

} // namespace

std::optional<Reason>
EntrySettings::Check() const
{
  using Checker = Fault (*)(const EntrySettings&);
  static constexpr Checker kCheckers[] = { &CheckIdentityAndAddresses,
                                           &CheckControls,
                                           &CheckPlatform,
                                           &CheckCertificatePaths,
                                           &CheckRanges };
  for (const Checker checker : kCheckers) {
    if (Fault fault = checker(*this)) {
      return Reason{ ReasonCode::Invalid, *fault };
    }
  }
  return std::nullopt;
}

} // namespace peridothoist
