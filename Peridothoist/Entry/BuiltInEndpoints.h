/// The HTTP endpoints that an entry process serves itself, without calling an
/// upstream: the list of entries for callers, health, readiness and metrics.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Membership/EntryDirectory.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Provides the state of the entry process that the endpoints report.
class EntryStatusProvider
{
public:
  virtual ~EntryStatusProvider() = default;

  /// Returns whether this VM is shutting down and should get no new callers.
  virtual bool IsLeaving() const = 0;

  /// Returns the metrics in the Prometheus text format.
  virtual std::string RenderMetrics() = 0;
};

/// Settings of BuiltInEndpoints.
struct BuiltInEndpointsSettings
{
  std::string mZone;            ///< Availability zone of this VM.
  Duration mEntriesMaxAge = 5s; ///< How long callers may cache /v1/entries.
  EntryDirectorySettings mDirectory;
};

/// Serves the built-in endpoints of one entry process.
class BuiltInEndpoints
{
public:
  using Settings = BuiltInEndpointsSettings;

  /// The pointers are not owned.
  BuiltInEndpoints(const Settings& aSettings,
                   Reactor* aReactor,
                   EntryView* aView,
                   EntryStatusProvider* aProvider);

  /// Responds to aExchange and returns true if its path is one of these
  /// endpoints. Returns false otherwise.
  bool TryHandle(HttpExchange& aExchange);

private:
  using Handler = void (BuiltInEndpoints::*)(HttpExchange& aExchange);

  void HandleEntries(HttpExchange& aExchange);
  void HandleHealth(HttpExchange& aExchange);
  void HandleReadiness(HttpExchange& aExchange);
  void HandleMetrics(HttpExchange& aExchange);

  Settings mSettings;
  Reactor* mReactor;
  EntryView* mView;
  EntryStatusProvider* mProvider;
  EntryDirectory mDirectory;
};

} // namespace peridothoist
