/// Main program of peridothoist-entry, which serves callers on one VM.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/EntryProcess.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Reactor.h>

#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(vm, "", "name of this VM in the platform's list of VMs");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(listen, "", "ip:port to listen on for callers");
DEFINE_string(peer_listen, "", "ip:port to listen on for peers");
DEFINE_string(control,
              "",
              "comma-separated ip:port of control processes, this VM's first");
DEFINE_string(platform, "", "URL of the platform's services, http://ip:port");
DEFINE_string(peer_secret, "", "secret shared by all peers, 16 bytes or more");
DEFINE_string(peer_certificate,
              "",
              "PEM certificate file for mutual TLS with peers");
DEFINE_string(peer_private_key, "", "PEM key file of the peer certificate");
DEFINE_string(peer_ca, "", "PEM file of the CA of the peers' certificates");
DEFINE_string(certificate, "", "PEM certificate file for TLS with callers");
DEFINE_string(private_key, "", "PEM key file of the certificate");
DEFINE_uint32(max_header_bytes, 16384, "largest request header, in bytes");
DEFINE_uint32(max_body_bytes, 1048576, "largest request body, in bytes");
DEFINE_uint32(max_connections, 16384, "largest number of caller connections");
DEFINE_uint32(max_connections_per_address,
              8192,
              "largest number of connections per caller IP address");
DEFINE_double(idle_timeout,
              30,
              "seconds without progress until a connection is closed");
DEFINE_double(request_timeout,
              10,
              "seconds from the first byte to the end of a request");
DEFINE_double(entries_max_age, 5, "seconds callers may cache GET /v1/entries");
DEFINE_double(load_interval, 0.2, "seconds between load polls of an upstream");
DEFINE_double(trace_sampling, 0, "fraction of traced requests, 0 to 1");
DEFINE_string(log_level, "info", "debug, info, warning, error or off");

namespace {

using namespace peridothoist;

EntrySettings
SettingsFromFlags()
{
  EntrySettings settings;
  settings.mVm = FLAGS_vm;
  settings.mZone = FLAGS_zone;
  settings.mListen = FLAGS_listen;
  settings.mPeerListen = FLAGS_peer_listen;
  settings.mControls = SplitCommaSeparated(FLAGS_control);
  settings.mPlatform = FLAGS_platform;
  settings.mPeerSecret = FLAGS_peer_secret;
  settings.mPeerCertificate = FLAGS_peer_certificate;
  settings.mPeerPrivateKey = FLAGS_peer_private_key;
  settings.mPeerCa = FLAGS_peer_ca;
  settings.mCertificate = FLAGS_certificate;
  settings.mPrivateKey = FLAGS_private_key;
  settings.mMaxHeaderBytes = FLAGS_max_header_bytes;
  settings.mMaxBodyBytes = FLAGS_max_body_bytes;
  settings.mMaxConnections = FLAGS_max_connections;
  settings.mMaxConnectionsPerAddress = FLAGS_max_connections_per_address;
  settings.mIdleTimeout = DurationFromSeconds(FLAGS_idle_timeout);
  settings.mRequestTimeout = DurationFromSeconds(FLAGS_request_timeout);
  settings.mEntriesMaxAge = DurationFromSeconds(FLAGS_entries_max_age);
  settings.mLoadPollInterval = DurationFromSeconds(FLAGS_load_interval);
  settings.mTraceSampling = FLAGS_trace_sampling;
  return settings;
}

int
Fail(const std::string& aText)
{
  std::fprintf(stderr, "peridothoist-entry: %s\n", aText.c_str());
  return 1;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage("serves callers on one VM");
  std::string error;
  if (!ReadFlags(&aArgc, &aArgv, &error)) {
    return Fail(error);
  }
  const auto level = LogLevelFromName(FLAGS_log_level);
  if (!level) {
    return Fail("log_level: \"" + FLAGS_log_level +
                "\"; allowed: debug, info, warning, error, off");
  }
  Log::Settings log;
  log.mLevel = *level;
  Log::Start(log);

  const auto reactor = Reactor::Create();
  if (reactor == nullptr) {
    return Fail("can't create the event loop");
  }
  Reason reason;
  auto process =
    EntryProcess::Create(SettingsFromFlags(), reactor.get(), &reason);
  if (process == nullptr) {
    Log::Stop();
    return Fail(reason.mText);
  }
  for (const int signal : { SIGTERM, SIGINT }) {
    reactor->SetSignalHandler(signal, [&process] { process->StartLeaving(); });
  }
  reactor->Run();
  process.reset();
  Log::Stop();
  return 0;
}
