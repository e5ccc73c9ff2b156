/// Main program of peridothoist-control, which reads the platform's
/// configuration and serves operators on one VM.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlFlags.h>
#include <Peridothoist/Control/ControlProcess.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>

#include <csignal>

#include <gflags/gflags.h>

DEFINE_string(vm, "", "name of this VM in the platform's list of VMs");
DEFINE_string(zone, "", "availability zone of this VM");
DEFINE_string(admin_listen, "", "ip:port to listen on for operators");
DEFINE_string(peer_listen, "", "ip:port to listen on for peers and entries");
DEFINE_string(peer_address, "", "ip:port for peers, if not peer_listen");
DEFINE_string(entry_address, "", "ip:port of this VM's entry for callers");
DEFINE_string(entry_peer, "", "ip:port of this VM's entry for peers");
DEFINE_string(platform, "", "URL of the platform's services, http://ip:port");
DEFINE_string(operator_keys,
              "",
              "comma-separated NAME=SHA256HEX of the operators' keys");
DEFINE_string(peer_secret, "", "secret shared by all peers, 16 bytes or more");
DEFINE_string(peer_certificate,
              "",
              "PEM certificate file for mutual TLS with peers");
DEFINE_string(peer_private_key, "", "PEM key file of the peer certificate");
DEFINE_string(peer_ca, "", "PEM file of the CA of the peers' certificates");
DEFINE_string(admin_certificate,
              "",
              "PEM certificate file for TLS with operators");
DEFINE_string(admin_private_key, "", "PEM key file of the admin certificate");
DEFINE_double(view_staleness_limit,
              2,
              "seconds after which an unconfirmed view must not be used; must "
              "be the same on all VMs");
DEFINE_double(poll_interval, 0.5, "seconds between polls of the platform");
DEFINE_string(log_level, "info", "debug, info, warning, error or off");

namespace {

using namespace peridothoist;

ControlFlagValues
ValuesFromFlags()
{
  ControlFlagValues values;
  values.mVm = FLAGS_vm;
  values.mZone = FLAGS_zone;
  values.mAdminListen = FLAGS_admin_listen;
  values.mPeerListen = FLAGS_peer_listen;
  values.mPeerAddress = FLAGS_peer_address;
  values.mEntryAddress = FLAGS_entry_address;
  values.mEntryPeer = FLAGS_entry_peer;
  values.mPlatform = FLAGS_platform;
  values.mOperatorKeys = FLAGS_operator_keys;
  values.mPeerSecret = FLAGS_peer_secret;
  values.mPeerCertificate = FLAGS_peer_certificate;
  values.mPeerPrivateKey = FLAGS_peer_private_key;
  values.mPeerCa = FLAGS_peer_ca;
  values.mAdminCertificate = FLAGS_admin_certificate;
  values.mAdminPrivateKey = FLAGS_admin_private_key;
  values.mStalenessLimitSeconds = FLAGS_view_staleness_limit;
  values.mPollIntervalSeconds = FLAGS_poll_interval;
  return values;
}

int
Fail(const std::string& aReason)
{
  Log::Error("start_failed").Field("reason", aReason);
  Log::Stop();
  return 1;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::string text;
  if (!ReadFlags(&aArgc, &aArgv, &text)) {
    return Fail(text);
  }
  const auto level = LogLevelFromName(FLAGS_log_level);
  if (!level) {
    return Fail("log_level is \"" + FLAGS_log_level +
                "\", must be debug, info, warning, error or off");
  }
  Reason reason;
  const auto settings =
    ReadControlSettings(ValuesFromFlags(), MakeInstanceName(FLAGS_vm), &reason);
  if (!settings) {
    return Fail(reason.mText);
  }
  Log::Settings log;
  log.mLevel = *level;
  Log::Start(log);
  const auto reactor = Reactor::Create();
  const auto http = reactor ? HttpClient::Create(*reactor) : nullptr;
  if (!http) {
    return Fail("can't create the event loop or the HTTP client");
  }
  PlatformClient platform(*reactor, *http, settings->mPlatform);
  const auto process =
    ControlProcess::Create(*reactor, *http, platform, *settings, &reason);
  if (!process) {
    return Fail(reason.mText);
  }
  const auto leave = [&] { process->Leave([&] { reactor->Stop(); }); };
  reactor->SetSignalHandler(SIGTERM, leave);
  reactor->SetSignalHandler(SIGINT, leave);
  reactor->Run();
  Log::Info("control_stopped");
  Log::Stop();
  return 0;
}
