/// What proves to another process of the system that one belongs to it.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

namespace peridothoist {

bool
CheckPeerCredentials(const PeerCredentials& aCredentials, Reason* aReason)
{
  const int pems = static_cast<int>(!aCredentials.mCertificatePem.empty()) +
                   static_cast<int>(!aCredentials.mPrivateKeyPem.empty()) +
                   static_cast<int>(!aCredentials.mAuthorityPem.empty());
  constexpr int kAllPems = 3;
  if (pems != 0 && pems != kAllPems) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "peer TLS needs a certificate, its key and an authority");
    return false;
  }
  if (pems == 0 && aCredentials.mSharedSecret.empty()) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "peers need a shared secret or TLS certificates");
    return false;
  }
  const bool tooShort =
    !aCredentials.mSharedSecret.empty() &&
    aCredentials.mSharedSecret.size() < detail::kMinSecretBytes;
  if (tooShort) {
    Reason::Set(aReason,
                ReasonCode::Invalid,
                "the peers' shared secret has fewer than 16 bytes");
    return false;
  }
  // The secret travels as an HTTP/2 header value.
  for (const char c : aCredentials.mSharedSecret) {
    if (c <= ' ' || c > '~') {
      Reason::Set(aReason,
                  ReasonCode::Invalid,
                  "the peers' shared secret has blanks or bytes beyond ASCII");
      return false;
    }
  }
  return true;
}

} // namespace peridothoist
