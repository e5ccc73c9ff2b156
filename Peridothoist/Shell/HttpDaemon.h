/// Creation of a libmicrohttpd daemon from the settings of an HTTP server.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/HttpServer.h>

#include <microhttpd.h>

namespace peridothoist::detail {

/// Callbacks of the daemon. Each gets mContext as its first argument.
struct HttpDaemonCallbacks
{
  void* mContext = nullptr;
  MHD_AccessHandlerCallback mAccess = nullptr;
  void* (*mRequestLine)(void*, const char*, MHD_Connection*) = nullptr;
  MHD_RequestCompletedCallback mCompleted = nullptr;
  MHD_NotifyConnectionCallback mConnection = nullptr;
};

/// Starts a listening daemon that has no threads and is driven through its
/// epoll descriptor. Returns null and sets aReason on failure. The PEM strings
/// in aSettings must outlive the daemon.
MHD_Daemon*
StartHttpDaemon(const HttpServerSettings& aSettings,
                const HttpDaemonCallbacks& aCallbacks,
                std::string* aReason);

} // namespace peridothoist::detail
