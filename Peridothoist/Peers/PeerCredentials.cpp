/// Credentials with which processes of the system authenticate to each other.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

namespace peridothoist {

bool
CheckPeerCredentials(const PeerCredentials& aCredentials, Reason* aReason)
{
  const int pemCount =
    static_cast<int>(!aCredentials.mCertificatePem.empty()) +
    static_cast<int>(!aCredentials.mPrivateKeyPem.empty()) +
    static_cast<int>(!aCredentials.mCaCertificatePem.empty());
  constexpr int kAllPems = 3;
  if (pemCount != 0 && pemCount != kAllPems) {
    Reason::Set(
      aReason,
      ReasonCode::Invalid,
      "peer TLS needs a certificate, its private key and a CA certificate");
    return false;
  }
  if (pemCount == 0 && aCredentials.mSharedSecret.empty()) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "peers need a shared secret or TLS certificates");
    return false;
  }
  const bool isTooShort =
    !aCredentials.mSharedSecret.empty() &&
    aCredentials.mSharedSecret.size() < detail::kMinSecretBytes;
  if (isTooShort) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "the peers' shared secret has fewer than 16 bytes");
    return false;
  }
  // The secret is sent as an HTTP/2 header value.
  for (const char c : aCredentials.mSharedSecret) {
    if (c <= ' ' || c > '~') {
      Reason::Set(
        aReason,
        ReasonCode::Invalid,
        "the peers' shared secret has spaces or bytes that are not printable "
        "ASCII");
      return false;
    }
  }
  return true;
}

} // namespace peridothoist
