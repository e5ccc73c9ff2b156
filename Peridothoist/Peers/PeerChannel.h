/// Sets up gRPC channels and servers for calls between peers.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Peers/PeerCredentials.h>

#include <grpcpp/grpcpp.h>

namespace peridothoist::detail {

/// Initializes gRPC once for the lifetime of the process and redirects its
/// errors to our log. Without this, destroying the last server or client shuts
/// the library down and blocks the reactor's thread for up to ten seconds while
/// gRPC's threads end.
void
StartGrpc();

/// Returns the credentials for a client's channels.
std::shared_ptr<grpc::ChannelCredentials>
ToChannelCredentials(const PeerCredentials& aCredentials);

/// Returns the credentials for a server's port.
std::shared_ptr<grpc::ServerCredentials>
ToServerCredentials(const PeerCredentials& aCredentials);

/// Returns the arguments for a client's channels.
grpc::ChannelArguments
ToChannelArguments(const PeerCredentials& aCredentials);

/// Sets the keepalive and message size limits of a server.
void
SetServerArguments(grpc::ServerBuilder& aBuilder);

/// Compares two secrets in constant time.
bool
IsSameSecret(std::string_view aLeft, std::string_view aRight);

} // namespace peridothoist::detail
