/// The HTTP server's state of one caller's connection, and the time limit for
/// receiving a request on it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/ServerExchange.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// The phase of a connection.
enum class ConnectionPhase
{
  Idle,      ///< Between requests, or within a request line.
  Reading,   ///< The request line has been received, the rest not completely.
  Responding ///< The request is complete, the response isn't.
};

/// One caller's connection.
class ServerConnection
{
public:
  ServerConnection(MHD_Connection* aHandle, TimePoint aNow);

  /// Enters another phase.
  void EnterPhase(ConnectionPhase aPhase, TimePoint aNow);

  /// Returns whether a part of a request has been received.
  bool IsReceivingRequest() const;

  /// Returns whether the caller has exceeded the time to send a request.
  bool HasRequestTimedOut(const HttpServerSettings& aSettings, TimePoint aNow);

  /// Shuts down both directions of the socket; libmicrohttpd then closes the
  /// connection.
  void ShutDown();
  bool IsShutDown() const { return mIsShutDown; }

  MHD_Connection* Handle() const { return mHandle; }
  int Descriptor() const { return mDescriptor; }
  ConnectionPhase Phase() const { return mPhase; }

  // The current request.
  std::string mTarget; ///< Path and query as received, not decoded.
  std::shared_ptr<ServerExchange> mExchange;
  std::uint64_t mBodyBytes = 0; ///< Received, including discarded bytes.
  bool mIsBodyTooLarge = false;

private:
  std::uint64_t BytesReceived() const;
  bool HasPartialRequest() const;

  MHD_Connection* mHandle;
  int mDescriptor;
  bool mIsShutDown = false;
  ConnectionPhase mPhase = ConnectionPhase::Idle;
  TimePoint mPhaseStartedAt; ///< Time when mPhase was entered.
  /// Bytes received on the connection when it last became idle.
  std::uint64_t mBytesBeforeRequest = 0;
  /// Time when a partial request was first noticed in the current idle phase.
  std::optional<TimePoint> mPartialRequestSeenAt;
};

} // namespace peridothoist::detail
