/// Credentials with which processes of the system authenticate to each other:
/// mutual TLS, or a shared secret on networks that are otherwise trusted.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Reason.h>

namespace peridothoist {

/// Credentials of one process, the same for its server and its clients.
struct PeerCredentials
{
  /// Shared by all processes of the system; sent with each call and compared
  /// in constant time. Empty: not used.
  std::string mSharedSecret;

  // Mutual TLS: all three must be set, or none.
  std::string mCertificatePem;
  std::string mPrivateKeyPem;
  std::string mCaCertificatePem; ///< CA that signed all peers' certificates.

  /// Expected name in peers' certificates. It replaces the host name, since
  /// peers are addressed by IP address.
  std::string mTlsServerName = "peridothoist-peer";
};

namespace detail {

/// Key of the call metadata that holds the shared secret.
constexpr const char* kSecretMetadataKey = "peridothoist-peer-secret";

/// Maximum size of a message between peers; calls with larger ones fail.
constexpr int kMaxMessageBytes = 8 * 1024 * 1024;

/// Minimum length of a shared secret.
constexpr std::size_t kMinSecretBytes = 16;

} // namespace detail

/// Returns whether credentials can be used; sets aReason if they are missing or
/// incomplete.
bool
CheckPeerCredentials(const PeerCredentials& aCredentials, Reason* aReason);

} // namespace peridothoist
