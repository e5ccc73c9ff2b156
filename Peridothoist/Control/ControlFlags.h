/// The settings of a control process as flags and environment variables, and
/// their check at start.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlSettings.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// The settings as text, as flags carry them.
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
  std::string mPeerCertificate; ///< PEM files.
  std::string mPeerPrivateKey;
  std::string mPeerCa;
  std::string mAdminCertificate;
  std::string mAdminPrivateKey;
  double mStalenessLimitSeconds = 2;
  double mPollIntervalSeconds = 0.5;
};

/// Reads and checks them. Empty with a reason that names the setting, its
/// value (unless it is secret) and what is allowed. aInstance names this
/// start of the process.
std::optional<ControlSettings>
ReadControlSettings(const ControlFlagValues& aValues,
                    std::string aInstance,
                    Reason* aReason);

/// A name for one start of a process: the VM and a random number.
std::string
MakeInstanceName(const std::string& aVm);

} // namespace peridothoist
