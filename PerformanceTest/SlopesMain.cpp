/// Measures the memory and processor time of core objects per workspace, key,
/// change, member and upstream, as the difference between two sizes.
/// docs/CAPACITY.md extrapolates to full size from the results.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Percentiles.h>
#include <Peridothoist/Allowance/AllowanceTable.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Keys/CallerKey.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Routing/UpstreamTable.h>
#include <Peridothoist/View/ViewChangeLog.h>

#include <gflags/gflags.h>

#include <ctime>
#include <malloc.h>

DEFINE_uint64(small, 1000, "Number of elements of the smaller size");
DEFINE_uint64(large, 11000, "Number of elements of the larger size");

namespace peridothoist::perf {
namespace {

const TimePoint kStart{ 1000s };

/// Returns the number of currently allocated heap bytes.
double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

/// Returns the processor time that this process has used, in microseconds.
double
CpuMicroseconds()
{
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// Memory held by an object and processor time spent to build it.
struct Cost
{
  double mBytes = 0;
  double mMicroseconds = 0;
};

/// Builds an object of the given size and returns its cost.
template<class Build>
Cost
MeasureCost(Build aBuild, std::uint64_t aSize)
{
  const double bytes = HeapBytes();
  const double time = CpuMicroseconds();
  const auto object = aBuild(aSize);
  return { HeapBytes() - bytes, CpuMicroseconds() - time };
}

/// Prints the cost per element.
template<class Build>
void
PrintCostPerElement(const std::string& aName, Build aBuild)
{
  const Cost small = MeasureCost(aBuild, FLAGS_small);
  const Cost large = MeasureCost(aBuild, FLAGS_large);
  const auto added = static_cast<double>(FLAGS_large - FLAGS_small);
  PrintValue(aName + ".bytes", (large.mBytes - small.mBytes) / added);
  PrintValue(aName + ".cpu_us",
             (large.mMicroseconds - small.mMicroseconds) / added);
}

/// Prints the mean processor time of a call.
template<class Call>
void
PrintCallCost(const std::string& aName, std::uint64_t aIterations, Call aCall)
{
  const double before = CpuMicroseconds();
  for (std::uint64_t n = 0; n < aIterations; ++n) {
    aCall(n);
  }
  PrintValue(aName + ".cpu_us",
             (CpuMicroseconds() - before) / static_cast<double>(aIterations));
}

ItemEdit
MakeWorkspaceItem(std::uint64_t aNumber)
{
  return { ItemKind::Workspace,
           "workspace-" + std::to_string(aNumber),
           R"({"rate_tokens_per_second":1000,"burst_tokens":5000,)"
           R"("pools":["pre","dec"]})" };
}

ItemEdit
MakeUpstreamItem(std::uint64_t aNumber)
{
  return { ItemKind::Upstream,
           "upstream-" + std::to_string(aNumber),
           R"({"pool":"dec","address":"127.0.0.1:)" +
             std::to_string(1 + aNumber % 60000) +
             R"(","zone":"zone-a","memory_pieces":20,"piece_tokens":4096})" };
}

KeyEntropy
MakeEntropy(std::uint64_t aNumber)
{
  KeyEntropy entropy;
  entropy.mSecret[0] = static_cast<unsigned char>(aNumber);
  entropy.mSecret[1] = static_cast<unsigned char>(aNumber >> 8);
  entropy.mSalt[0] = static_cast<unsigned char>(aNumber);
  return entropy;
}

NewKey
MakeTestKey(std::uint64_t aNumber)
{
  const std::string name = "key-" + std::to_string(aNumber);
  return *MakeKey(name, "workspace-0", MakeEntropy(aNumber), nullptr);
}

std::vector<ItemEdit>
MakePoolItems()
{
  return { { ItemKind::Pool, "pre", R"({"role":"prefill","model":"m"})" },
           { ItemKind::Pool, "dec", R"({"role":"decode","model":"m"})" } };
}

/// Returns a configuration with many items of one kind.
template<class MakeItem>
ConfigurationStore
MakeStore(std::uint64_t aSize, MakeItem aMakeItem)
{
  std::vector<ItemEdit> items = MakePoolItems();
  for (std::uint64_t n = 0; n < aSize; ++n) {
    items.push_back(aMakeItem(n));
  }
  auto store = ConfigurationStore::FromItems(1, items, nullptr);
  PH_ASSERT(store.has_value());
  return std::move(*store);
}

ConfigChange
MakeChange(std::uint64_t aVersion)
{
  ConfigChange change;
  change.mVersion = aVersion;
  change.mOperationId = "vm1-000000000000-" + std::to_string(aVersion);
  change.mEdits = { MakeWorkspaceItem(aVersion % FLAGS_small) };
  return change;
}

Member
MakeMember(std::uint64_t aNumber)
{
  Member member;
  const std::string number = std::to_string(aNumber);
  member.mVm = "vm" + number;
  member.mZone = "zone-" + std::to_string(aNumber % 9);
  member.mEntryAddress = "127.0." + std::to_string(aNumber % 250) + ".1:8080";
  member.mEntryPeer = member.mEntryAddress;
  member.mControlPeer = member.mEntryAddress;
  member.mEntryInstance = "0123456789abcdef";
  member.mControlInstance = "fedcba9876543210";
  member.mReportAge = 1s;
  return member;
}

std::vector<Member>
MakeMembers(std::uint64_t aSize)
{
  std::vector<Member> members;
  for (std::uint64_t n = 0; n < aSize; ++n) {
    members.push_back(MakeMember(n + 1));
  }
  return members;
}

void
MeasureConfiguration()
{
  PrintCostPerElement("config.workspace", [](std::uint64_t aSize) {
    return MakeStore(aSize, MakeWorkspaceItem);
  });
  PrintCostPerElement("config.upstream", [](std::uint64_t aSize) {
    return MakeStore(aSize, MakeUpstreamItem);
  });
  ConfigurationStore store = MakeStore(FLAGS_large, MakeWorkspaceItem);
  ViewChangeLog changeLog({});
  changeLog.Reset(1);
  PrintCallCost("config.change_apply", FLAGS_small, [&](std::uint64_t aNumber) {
    PH_ASSERT(store.Apply(MakeChange(aNumber + 2), nullptr));
  });
  const double bytes = HeapBytes();
  PrintCallCost("view.change_log", FLAGS_small, [&](std::uint64_t aNumber) {
    PH_ASSERT(changeLog.Apply(MakeChange(aNumber + 2)) == ApplyResult::Applied);
  });
  PrintValue("view.change_log.bytes",
             (HeapBytes() - bytes) / static_cast<double>(FLAGS_small));
  PrintValue("message.change.bytes",
             static_cast<double>(ToMessage(MakeChange(9)).ByteSizeLong()));
  PrintCallCost("config.copy_whole", 10, [&](std::uint64_t) {
    auto copy = std::make_unique<Configuration>(store.Get());
    PH_ASSERT(copy->mWorkspaces.size() >= FLAGS_large);
  });
}

void
MeasureKeys()
{
  std::map<std::string, KeyRecord> keys;
  for (std::uint64_t n = 0; n < FLAGS_large; ++n) {
    const KeyRecord record = MakeTestKey(n).mRecord;
    keys[record.mName] = record;
  }
  std::map<std::string, KeyRecord> fewKeys;
  for (const auto& it : keys) {
    if (fewKeys.size() < FLAGS_small) {
      fewKeys.insert(it);
    }
  }
  PrintCostPerElement("keys.key", [&](std::uint64_t aSize) {
    auto authenticator =
      std::make_unique<KeyAuthenticator>(KeyAuthenticator::Settings());
    authenticator->SetKeys(1, aSize == FLAGS_small ? fewKeys : keys);
    return authenticator;
  });
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, keys);
  PrintCallCost("keys.set_again", 10, [&](std::uint64_t aNumber) {
    authenticator.SetKeys(aNumber + 2, keys);
  });
  const std::string text = MakeTestKey(7).mText;
  PrintCallCost("keys.authenticate", 20000, [&](std::uint64_t) {
    PH_ASSERT(authenticator.Authenticate(text, nullptr).has_value());
  });
}

void
MeasureMembers()
{
  PrintCostPerElement("members.member", [](std::uint64_t aSize) {
    auto list =
      std::make_unique<MemberList>(MemberListSettings(), MakeMember(0), kStart);
    list->MergePlatformList(MakeMembers(aSize), kStart, kStart);
    return list;
  });
  constexpr std::uint64_t kMembers = 690;
  constexpr std::size_t kGossipMembers = 64;
  MemberList list({}, MakeMember(0), kStart);
  list.MergePlatformList(MakeMembers(kMembers), kStart, kStart);
  const std::vector<Member> gossip = MakeMembers(kGossipMembers);
  PrintCallCost("members.merge_reply_of_64", 1000, [&](std::uint64_t aNumber) {
    const TimePoint now = kStart + std::chrono::milliseconds(aNumber);
    list.MergeReply(MakeMember(1), gossip, now, now);
  });
  PrintCallCost("members.export_690", 100, [&](std::uint64_t) {
    PH_ASSERT(list.CurrentMembers(kStart + 2s).size() > kMembers);
  });
  PrintValue("message.member.bytes",
             static_cast<double>(ToMessage(MakeMember(1)).ByteSizeLong()));
}

std::map<std::string, Workspace>
MakeWorkspaces(std::uint64_t aSize)
{
  std::map<std::string, Workspace> workspaces;
  for (std::uint64_t n = 0; n < aSize; ++n) {
    Workspace workspace;
    workspace.mName = "workspace-" + std::to_string(n);
    workspace.mTokensPerSecond = 1000;
    workspace.mBurstTokens = 5000;
    workspaces[workspace.mName] = workspace;
  }
  return workspaces;
}

std::unique_ptr<AllowanceTable>
MakeAllowances(std::uint64_t aWorkspaces, std::uint64_t aUsed)
{
  auto allowances =
    std::make_unique<AllowanceTable>(AllowanceTable::Settings(), "entry-1");
  allowances->SetWorkspaces(MakeWorkspaces(aWorkspaces), kStart);
  allowances->SetPlan(1, { "entry-1", "entry-2", "entry-3" }, kStart);
  allowances->SetFreshUntil(kStart + 1h, kStart);
  for (std::uint64_t n = 0; n < aUsed; ++n) {
    allowances->Spend("workspace-" + std::to_string(n), 1, kStart + 10s);
  }
  return allowances;
}

void
MeasureAllowance()
{
  PrintCostPerElement("allowance.workspace_known", [](std::uint64_t aSize) {
    return MakeAllowances(aSize, 0);
  });
  PrintCostPerElement("allowance.workspace_used", [](std::uint64_t aSize) {
    return MakeAllowances(aSize, aSize);
  });
  const auto allowances = MakeAllowances(FLAGS_large, FLAGS_large);
  PrintCallCost("allowance.spend", 100000, [&](std::uint64_t aNumber) {
    const std::string name =
      "workspace-" + std::to_string(aNumber % FLAGS_large);
    allowances->Spend(name, 0.001, kStart + 11s);
  });
  const auto workspaces = MakeWorkspaces(FLAGS_large);
  PrintCallCost("allowance.set_workspaces", 10, [&](std::uint64_t) {
    allowances->SetWorkspaces(workspaces, kStart + 12s);
  });
}

void
MeasureUpstreams()
{
  PrintCostPerElement("routing.upstream", [](std::uint64_t aSize) {
    const ConfigurationStore store = MakeStore(aSize, MakeUpstreamItem);
    auto table = std::make_unique<UpstreamTable>();
    table->SetConfiguration(store.Get());
    return table;
  });
  const ConfigurationStore store = MakeStore(FLAGS_large, MakeUpstreamItem);
  UpstreamTable table;
  table.SetConfiguration(store.Get());
  PrintCallCost("routing.set_configuration", 10, [&](std::uint64_t) {
    table.SetConfiguration(store.Get());
  });
}

} // namespace
} // namespace peridothoist::perf

int
main(int aArgc, char** aArgv)
{
  using namespace peridothoist::perf;
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  PrintValue("small", static_cast<double>(FLAGS_small));
  PrintValue("large", static_cast<double>(FLAGS_large));
  MeasureConfiguration();
  MeasureKeys();
  MeasureMembers();
  MeasureAllowance();
  MeasureUpstreams();
  return 0;
}
