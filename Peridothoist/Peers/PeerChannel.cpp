/// How channels and servers between peers are set up.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerChannel.h>
#include <Peridothoist/Shell/Log.h>

#include <google/protobuf/stubs/logging.h>
#include <grpc/grpc.h>
#include <grpc/support/log.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <mutex>

namespace peridothoist::detail {

namespace {

// A cut connection is noticed after at most the sum of these two, while a
// call is open. Idle channels send nothing: with a second's ping each, those
// of a large fleet would take more than control traffic may.
constexpr int kKeepaliveIntervalMs = 1000;
constexpr int kKeepaliveTimeoutMs = 1000;

/// Pings that come faster than this are held to be abuse.
constexpr int kMinPingIntervalMs = 500;

/// Waits before a peer that can't be reached is tried again.
constexpr int kInitialBackoffMs = 100;
constexpr int kMaxBackoffMs = 1000;
/// Least wait, which is also how long one try to connect may take.
constexpr int kMinBackoffMs = 1000;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest
DigestOf(std::string_view aText)
{
  Digest digest = {};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return digest;
}

/// Writes one of gRPC's own messages as an event of ours.
void
WriteGrpcLog(gpr_log_func_args* aMessage)
{
  if (aMessage->severity == GPR_LOG_SEVERITY_ERROR) {
    Log::Warning("grpc_error").Field("message", aMessage->message);
  }
}

} // namespace

void
StartGrpc()
{
  static std::once_flag started;
  std::call_once(started, [] {
    grpc_init();
    gpr_set_log_function(&WriteGrpcLog);
    // A message that can't be parsed fails its call; it needs no line of its
    // own on standard error.
    google::protobuf::SetLogHandler(nullptr);
  });
}

std::shared_ptr<grpc::ChannelCredentials>
ToChannelCredentials(const PeerCredentials& aCredentials)
{
  if (aCredentials.mCertificatePem.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = aCredentials.mAuthorityPem;
  options.pem_private_key = aCredentials.mPrivateKeyPem;
  options.pem_cert_chain = aCredentials.mCertificatePem;
  return grpc::SslCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials>
ToServerCredentials(const PeerCredentials& aCredentials)
{
  if (aCredentials.mCertificatePem.empty()) {
    return grpc::InsecureServerCredentials();
  }
  grpc::SslServerCredentialsOptions options(
    GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = aCredentials.mAuthorityPem;
  options.pem_key_cert_pairs.push_back(
    { aCredentials.mPrivateKeyPem, aCredentials.mCertificatePem });
  return grpc::SslServerCredentials(options);
}

grpc::ChannelArguments
ToChannelArguments(const PeerCredentials& aCredentials)
{
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetMaxSendMessageSize(kMaxMessageBytes);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveIntervalMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepaliveTimeoutMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialBackoffMs);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinBackoffMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxBackoffMs);
  // What may be sent again is the caller's to decide.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  if (!aCredentials.mCertificatePem.empty()) {
    arguments.SetSslTargetNameOverride(aCredentials.mTlsName);
  }
  return arguments;
}

void
SetServerArguments(grpc::ServerBuilder& aBuilder)
{
  aBuilder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  aBuilder.SetMaxSendMessageSize(kMaxMessageBytes);
  // Two processes on one port would each get a part of the calls.
  aBuilder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepaliveIntervalMs);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                              kKeepaliveTimeoutMs);
  aBuilder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 0);
  aBuilder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingIntervalMs);
  aBuilder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
}

bool
IsSameSecret(std::string_view aLeft, std::string_view aRight)
{
  // Digests have one length, so not even the secret's length shows.
  const Digest left = DigestOf(aLeft);
  const Digest right = DigestOf(aRight);
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace peridothoist::detail
