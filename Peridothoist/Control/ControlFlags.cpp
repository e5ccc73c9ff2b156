/// Parses and validates the settings of a control process at start.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlFlags.h>

#include <Peridothoist/Config/ConfigText.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>

#include <random>

namespace peridothoist {

namespace {

constexpr std::string_view kHttpScheme = "http://";
constexpr std::size_t kSha256HexDigits = 64;

/// A configuration change can be a large document.
constexpr std::uint32_t kMaxAdminBodyBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxAdminConnections = 256;

/// A text setting and the function that validates it.
struct TextCheck
{
  const char* mName;
  std::string ControlFlagValues::*mValue;
  std::optional<std::string> (*mCheck)(std::string_view, std::string_view);
};

const std::vector<TextCheck> kTextChecks = {
  { "vm", &ControlFlagValues::mVm, CheckName },
  { "zone", &ControlFlagValues::mZone, CheckName },
  { "admin_listen", &ControlFlagValues::mAdminListen, CheckSocketAddress },
  { "peer_listen", &ControlFlagValues::mPeerListen, CheckSocketAddress },
  { "entry_address", &ControlFlagValues::mEntryAddress, CheckSocketAddress },
  { "entry_peer", &ControlFlagValues::mEntryPeer, CheckSocketAddress },
};

/// A setting with the path of a PEM file; the path may be empty.
struct FileSetting
{
  const char* mName;
  std::string ControlFlagValues::*mPath;
  std::string* mContents;
};

bool
SetError(Reason* aReason, std::string aText)
{
  Reason::Set(aReason, ReasonCode::Invalid, std::move(aText));
  return false;
}

bool
CheckTextSettings(const ControlFlagValues& aValues, Reason* aReason)
{
  for (const TextCheck& it : kTextChecks) {
    const auto error = it.mCheck(it.mName, aValues.*it.mValue);
    if (error) {
      return SetError(aReason, *error);
    }
  }
  if (!aValues.mPeerAddress.empty()) {
    const auto error = CheckSocketAddress("peer_address", aValues.mPeerAddress);
    if (error) {
      return SetError(aReason, *error);
    }
  }
  const std::string_view url = aValues.mPlatform;
  const bool hasScheme = url.substr(0, kHttpScheme.size()) == kHttpScheme;
  if (!hasScheme || !IsAddress(url.substr(kHttpScheme.size()))) {
    return SetError(aReason,
                    "platform: \"" + aValues.mPlatform +
                      "\" is not of the form http://ip:port");
  }
  return true;
}

bool
CheckNumericSettings(const ControlFlagValues& aValues, Reason* aReason)
{
  const auto staleness =
    CheckRange("view_staleness_limit", aValues.mStalenessLimitSeconds, 0.5, 10);
  if (staleness) {
    return SetError(aReason, *staleness);
  }
  const auto poll = CheckRange("poll_interval",
                               aValues.mPollIntervalSeconds,
                               0.05,
                               aValues.mStalenessLimitSeconds / 2);
  return !poll || SetError(aReason, *poll);
}

/// Parses "NAME=SHA256HEX,...". The error text never contains the digest part,
/// because an operator may have put the key itself there.
bool
ParseOperatorKeys(const std::string& aText,
                  std::vector<OperatorKey>& aOperators,
                  Reason* aReason)
{
  std::size_t start = 0;
  while (start < aText.size()) {
    const std::size_t end = std::min(aText.find(',', start), aText.size());
    const std::string entry = aText.substr(start, end - start);
    const std::size_t equals = entry.find('=');
    const std::string name = entry.substr(0, equals);
    const std::string digest =
      equals == std::string::npos ? std::string() : entry.substr(equals + 1);
    if (!IsItemName(name) || digest.size() != kSha256HexDigits ||
        !IsHex(digest)) {
      return SetError(aReason,
                      "operator_keys: the entry for \"" +
                        (IsItemName(name) ? name : std::string("?")) +
                        "\" must be NAME=SHA256 of the operator's key, in 64 "
                        "lower-case hex digits");
    }
    aOperators.push_back({ name, digest });
    start = end + 1;
  }
  return !aOperators.empty() ||
         SetError(aReason,
                  "operator_keys: must not be empty; the format is "
                  "NAME=SHA256HEX,...");
}

bool
ReadPemFiles(const ControlFlagValues& aValues,
             const std::vector<FileSetting>& aFiles,
             Reason* aReason)
{
  for (const FileSetting& it : aFiles) {
    if ((aValues.*it.mPath).empty()) {
      continue;
    }
    std::string error;
    auto contents = ReadFileSetting(it.mName, aValues.*it.mPath, &error);
    if (!contents) {
      return SetError(aReason, error);
    }
    *it.mContents = std::move(*contents);
  }
  return true;
}

void
ApplyStalenessLimit(double aSeconds, ControlSettings& aSettings)
{
  const auto limit = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
  aSettings.mFreshness.mStalenessLimit = limit;
  aSettings.mOutage.mStalenessLimit = limit;
  aSettings.mInForce.mStalenessLimit = limit;
  aSettings.mChangeGuard.mExchangeTimeout = limit;
  aSettings.mMembers.mSilenceLimit = limit;
}

} // namespace

std::string
MakeInstanceName(const std::string& aVm)
{
  std::random_device device;
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kRandomDigits = 12;
  std::string name = aVm + "-c-";
  for (int n = 0; n < kRandomDigits; ++n) {
    name += kDigits[device() % 16];
  }
  return name;
}

std::optional<ControlSettings>
ReadControlSettings(const ControlFlagValues& aValues,
                    std::string aInstance,
                    Reason* aReason)
{
  ControlSettings settings;
  const std::vector<FileSetting> files = {
    { "peer_certificate",
      &ControlFlagValues::mPeerCertificate,
      &settings.mPeerCredentials.mCertificatePem },
    { "peer_private_key",
      &ControlFlagValues::mPeerPrivateKey,
      &settings.mPeerCredentials.mPrivateKeyPem },
    { "peer_ca",
      &ControlFlagValues::mPeerCa,
      &settings.mPeerCredentials.mCaCertificatePem },
    { "admin_certificate",
      &ControlFlagValues::mAdminCertificate,
      &settings.mAdmin.mCertificatePem },
    { "admin_private_key",
      &ControlFlagValues::mAdminPrivateKey,
      &settings.mAdmin.mPrivateKeyPem },
  };
  if (!CheckTextSettings(aValues, aReason) ||
      !CheckNumericSettings(aValues, aReason) ||
      !ParseOperatorKeys(aValues.mOperatorKeys, settings.mOperators, aReason) ||
      !ReadPemFiles(aValues, files, aReason)) {
    return std::nullopt;
  }
  const SocketAddress admin = *ParseSocketAddress(aValues.mAdminListen);
  settings.mVm = aValues.mVm;
  settings.mZone = aValues.mZone;
  settings.mInstance = std::move(aInstance);
  settings.mEntryAddress = aValues.mEntryAddress;
  settings.mEntryPeer = aValues.mEntryPeer;
  settings.mPeerListen = aValues.mPeerListen;
  settings.mPeerAddress =
    aValues.mPeerAddress.empty() ? aValues.mPeerListen : aValues.mPeerAddress;
  settings.mPlatform.mUrl = aValues.mPlatform;
  settings.mPeerCredentials.mSharedSecret = aValues.mPeerSecret;
  settings.mAdmin.mAddress = admin.mIp;
  settings.mAdmin.mPort = admin.mPort;
  settings.mAdmin.mMaxBodyBytes = kMaxAdminBodyBytes;
  settings.mAdmin.mMaxConnections = kMaxAdminConnections;
  settings.mAdmin.mMaxConnectionsPerAddress = kMaxAdminConnections;
  settings.mConfigPoller.mPollInterval = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aValues.mPollIntervalSeconds));
  ApplyStalenessLimit(aValues.mStalenessLimitSeconds, settings);
  if (!CheckPeerCredentials(settings.mPeerCredentials, aReason)) {
    return std::nullopt;
  }
  if (settings.mAdmin.mCertificatePem.empty() !=
      settings.mAdmin.mPrivateKeyPem.empty()) {
    SetError(aReason,
             "admin_certificate and admin_private_key: must be set together");
    return std::nullopt;
  }
  return settings;
}

} // namespace peridothoist
