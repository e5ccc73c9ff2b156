/// The settings of an entry process, and their check at start.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// What an entry process is started with.
struct EntrySettings
{
  // Who and where
  std::string mVm;         ///< Name of the VM, as the platform lists it.
  std::string mZone;       ///< Availability zone of the VM.
  std::string mListen;     ///< "ip:port" for callers.
  std::string mPeerListen; ///< "ip:port" for peers.
  std::vector<std::string> mControls; ///< "ip:port" each, own VM's first.
  std::string mPlatform;              ///< "http://ip:port", for claims.

  // Secrets
  std::string mPeerSecret;      ///< Shared by all peers; or certificates.
  std::string mPeerCertificate; ///< PEM files for mutual TLS between peers.
  std::string mPeerPrivateKey;
  std::string mPeerAuthority;
  std::string mCertificate; ///< PEM file: serve callers over TLS.
  std::string mPrivateKey;

  // Limits and times
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint32_t mMaxBodyBytes = 1024 * 1024; ///< Of any workspace.
  std::uint32_t mMaxConnections = 16384;
  std::uint32_t mMaxConnectionsPerAddress = 8192;
  Duration mIdleTimeout = 30s;      ///< Caller connection without progress.
  Duration mRequestTimeout = 10s;   ///< From first byte to whole request.
  Duration mFollowInterval = 200ms; ///< Between questions to control.
  Duration mLoadInterval = 200ms;   ///< Between load reports of upstreams.
  Duration mEntriesMaxAge = 5s;     ///< How long callers may keep an answer of
                                ///< GET /v1/entries; a leaving VM serves late
                                ///< callers this long and a second more.
  double mTraceSampling = 0; ///< Share of requests traced.

  /// Checks every field. Empty when all is well; else the reason names the
  /// setting, its value and what is allowed.
  std::optional<Reason> Check() const;
};

} // namespace peridothoist
