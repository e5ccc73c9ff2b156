/// Sets up gRPC channels and servers for calls between peers.
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

// While a call is open, a broken connection is detected after at most the sum
// of these two. Idle channels send no pings: in a large fleet, a ping per
// second on every channel would exceed the budget of control traffic.
constexpr int kKeepaliveIntervalMs = 1000;
constexpr int kKeepaliveTimeoutMs = 1000;

/// The server treats pings at shorter intervals as abuse.
constexpr int kMinPingIntervalMs = 500;

/// Delays between attempts to connect to an unreachable peer.
constexpr int kInitialBackoffMs = 100;
constexpr int kMaxBackoffMs = 1000;
/// Minimum delay, which is also the timeout of one attempt to connect.
constexpr int kMinBackoffMs = 1000;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest
ComputeDigest(std::string_view aText)
{
  Digest digest = {};
  SHA256(reinterpret_cast<const unsigned char*>(aText.data()),
         aText.size(),
         digest.data());
  return digest;
}

/// Writes gRPC's own error messages to our log.
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
    // A message that can't be parsed fails its call; protobuf must not also
    // write to standard error.
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
  options.pem_root_certs = aCredentials.mCaCertificatePem;
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
  options.pem_root_certs = aCredentials.mCaCertificatePem;
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
  // Only our own code decides which calls are safe to retry.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  if (!aCredentials.mCertificatePem.empty()) {
    arguments.SetSslTargetNameOverride(aCredentials.mTlsServerName);
  }
  return arguments;
}

void
SetServerArguments(grpc::ServerBuilder& aBuilder)
{
  aBuilder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  aBuilder.SetMaxSendMessageSize(kMaxMessageBytes);
  // Otherwise two processes could listen on one port and would each receive
  // only some of the calls.
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
  // Comparing digests of equal length hides the length of the secret too.
  const Digest left = ComputeDigest(aLeft);
  const Digest right = ComputeDigest(aRight);
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace peridothoist::detail
