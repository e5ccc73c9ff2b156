/// The settings of an entry process and their validation.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// Settings of an entry process, read from its flags.
struct EntrySettings
{
  // Identity and addresses
  std::string mVm;         ///< Name of the VM in the platform's list.
  std::string mZone;       ///< Availability zone of the VM.
  std::string mListen;     ///< "ip:port" for callers.
  std::string mPeerListen; ///< "ip:port" for peers.
  /// "ip:port" of each control process, the one on this VM first.
  std::vector<std::string> mControls;
  std::string mPlatform; ///< "http://ip:port" of the platform, for claims.

  // Secrets
  std::string mPeerSecret;      ///< Secret of all peers; or use mutual TLS.
  std::string mPeerCertificate; ///< PEM file for mutual TLS between peers.
  std::string mPeerPrivateKey;  ///< PEM file of the peer certificate's key.
  std::string mPeerCa;          ///< PEM file of the peers' CA.
  std::string mCertificate;     ///< PEM file for TLS with callers.
  std::string mPrivateKey;      ///< PEM file of the certificate's key.

  // Limits and durations
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint32_t mMaxBodyBytes = 1024 * 1024; ///< Limit for all workspaces.
  std::uint32_t mMaxConnections = 16384;
  std::uint32_t mMaxConnectionsPerAddress = 8192;
  Duration mIdleTimeout = 30s;        ///< Caller connection without progress.
  Duration mRequestTimeout = 10s;     ///< From first byte to whole request.
  Duration mViewPollInterval = 200ms; ///< Interval of polling control.
  Duration mLoadPollInterval = 200ms; ///< Interval of polling each upstream.
  /// How long callers may cache a response to GET /v1/entries. A leaving VM
  /// serves late callers for this time and one more second.
  Duration mEntriesMaxAge = 5s;
  double mTraceSampling = 0; ///< Fraction of requests that are traced.

  /// Checks every field. Returns nullopt if all are valid, otherwise a reason
  /// with the setting, its value and the allowed values.
  std::optional<Reason> Check() const;
};

} // namespace peridothoist
