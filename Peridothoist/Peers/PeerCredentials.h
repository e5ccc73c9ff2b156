/// What proves to another process of the system that one belongs to it:
/// mutual TLS, or a shared secret on networks that are trusted otherwise.
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

  // Mutual TLS: all three or none.
  std::string mCertificatePem;
  std::string mPrivateKeyPem;
  std::string mAuthorityPem; ///< Signed every peer's certificate.

  /// The name in peers' certificates, which are reached by IP number.
  std::string mTlsName = "peridothoist-peer";
};

namespace detail {

/// The metadata that carries the shared secret.
constexpr const char* kSecretMetadata = "peridothoist-peer-secret";

/// Largest message between peers; a larger one fails its call.
constexpr int kMaxMessageBytes = 8 * 1024 * 1024;

/// Shortest shared secret that is taken.
constexpr std::size_t kMinSecretBytes = 16;

} // namespace detail

/// Whether credentials can be used; false with aReason when they are missing
/// or incomplete.
bool
CheckPeerCredentials(const PeerCredentials& aCredentials, Reason* aReason);

} // namespace peridothoist
