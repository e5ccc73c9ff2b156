/// How channels and servers between peers are set up, the same on both ends.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

#include <grpcpp/grpcpp.h>

namespace peridothoist::detail {

/// Starts gRPC once for the process's life, and sends its errors to our log.
/// Without that, the last server or client to go shuts the library down and
/// waits for its threads: up to ten seconds, on the reactor's thread.
void
StartGrpc();

/// Credentials for a client's channels.
std::shared_ptr<grpc::ChannelCredentials>
ToChannelCredentials(const PeerCredentials& aCredentials);

/// Credentials for a server's port.
std::shared_ptr<grpc::ServerCredentials>
ToServerCredentials(const PeerCredentials& aCredentials);

/// Arguments of a client's channels.
grpc::ChannelArguments
ToChannelArguments(const PeerCredentials& aCredentials);

/// Sets a server's keepalive and limits.
void
SetServerArguments(grpc::ServerBuilder& aBuilder);

/// Compares two secrets in a time that tells nothing about either.
bool
IsSameSecret(std::string_view aLeft, std::string_view aRight);

} // namespace peridothoist::detail
