/// Owns the HTTP server of one engine stand-in and can stop and restart it.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineService.h>

namespace peridothoist::standin {

/// An engine at a fixed address. Faults and log survive a crash; the KV memory
/// does not.
class EngineHost
{
public:
  EngineHost(Reactor& aReactor,
             HttpClient& aClient,
             std::string aAddress,
             EngineSettings aSettings,
             std::uint64_t aSeed);

  /// Starts listening. Returns false if the address is not available. Does
  /// nothing and returns true if the engine is running.
  bool Start();

  /// Closes the listening socket and all connections immediately.
  void Kill();

  /// Makes a crash end the process instead of only this engine.
  void SetExitOnCrash() { mShouldExitOnCrash = true; }

  bool IsRunning() const { return mServer != nullptr; }
  const std::string& Address() const { return mAddress; }
  EngineFaults& Faults() { return mFaults; }
  const RequestLog& Log() const { return mLog; }

  /// Returns the statistics since the last start, as JSON.
  Json Stats() const;

private:
  void Crash();

  Reactor& mReactor;
  HttpClient& mClient;
  std::string mAddress;
  EngineSettings mSettings;
  Random mRandom;
  EngineFaults mFaults;
  RequestLog mLog;
  bool mShouldExitOnCrash = false;
  std::uint64_t mCrashCount = 0;
  std::unique_ptr<EngineService> mService;
  std::unique_ptr<HttpServer> mServer; ///< Must be destroyed before mService.
};

} // namespace peridothoist::standin
