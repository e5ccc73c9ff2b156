/// Settings of a control process as flags and environment variables, and their
/// validation at start.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// Values of the flags before validation.
struct ControlFlagValues
{
  std::string mVm;
  std::string mZone;
  std::string mAdminListen;
  std::string mPeerListen;
  std::string mPeerAddress; ///< Empty: the same as mPeerListen.
  std::string mEntryAddress;
  std::string mEntryPeer;
  std::string mPlatform;
  std::string mOperatorKeys; ///< "NAME=SHA256HEX,..."
  std::string mPeerSecret;
  std::string mPeerCertificate; ///< Path of a PEM file, as the next four.
  std::string mPeerPrivateKey;
  std::string mPeerCa;
  std::string mAdminCertificate;
  std::string mAdminPrivateKey;
  double mStalenessLimitSeconds = 2;
  double mPollIntervalSeconds = 0.5;
};

/// Validates the flag values. On an error returns nullopt with a reason that
/// names the setting, its value (unless it is secret) and the allowed values.
/// aInstance is the name of this process incarnation.
std::optional<ControlSettings>
ReadControlSettings(const ControlFlagValues& aValues,
                    std::string aInstance,
                    Reason* aReason);

/// Returns a unique name for a process incarnation: the VM and a random number.
std::string
MakeInstanceName(const std::string& aVm);

} // namespace peridothoist
