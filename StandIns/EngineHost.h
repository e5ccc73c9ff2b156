/// Holds one engine stand-in's server, and lets it die and come back.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineService.h>

namespace peridothoist::standin {

/// One engine at one address. Its faults and log outlive a crash; its memory
/// does not.
class EngineHost
{
public:
  EngineHost(Reactor& aReactor,
             HttpClient& aClient,
             std::string aAddress,
             EngineSettings aSettings,
             std::uint64_t aSeed);

  /// Starts to listen. Returns false when the address can't be had. Harmless
  /// when it lives already.
  bool Start();

  /// Closes the listening socket and all connections at once.
  void Kill();

  /// Makes a crash end the whole process instead of this engine alone.
  void ExitOnCrash() { mExitOnCrash = true; }

  bool Alive() const { return mServer != nullptr; }
  const std::string& Address() const { return mAddress; }
  EngineFaults& Faults() { return mFaults; }
  const RequestLog& Log() const { return mLog; }

  /// Statistics since the last start, as JSON.
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
  bool mExitOnCrash = false;
  std::uint64_t mDeaths = 0;
  std::unique_ptr<EngineService> mService;
  std::unique_ptr<HttpServer> mServer; ///< Goes before mService.
};

} // namespace peridothoist::standin
