/// Measures what core objects cost for each workspace, key, change, member
/// and upstream: state bytes and processor time, as the difference between
/// two sizes. docs/CAPACITY.md works out full size from these.
#include <Peridothoist/Peridothoist.h>
#include <PerformanceTest/Percentiles.h>
#include <Peridothoist/Allowance/AllowanceBook.h>
#include <Peridothoist/Config/ConfigurationStore.h>
#include <Peridothoist/Keys/KeyRing.h>
#include <Peridothoist/Keys/KeyText.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/Peers/PeerCodec.h>
#include <Peridothoist/Routing/UpstreamTable.h>
#include <Peridothoist/View/ViewLog.h>

#include <gflags/gflags.h>

#include <ctime>
#include <malloc.h>

DEFINE_uint64(small, 1000, "Smaller size");
DEFINE_uint64(large, 11000, "Larger size");

namespace peridothoist::perf {
namespace {

const TimePoint kStart{ 1000s };

/// Bytes that are allocated now.
double
HeapBytes()
{
  return static_cast<double>(mallinfo2().uordblks);
}

/// Processor microseconds that this process has used.
double
CpuMicroseconds()
{
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

/// Bytes held by, and time spent for, one object of some size.
struct Cost
{
  double mBytes = 0;
  double mMicroseconds = 0;
};

/// Builds an object, and says what it holds and took.
template<class Build>
Cost
CostOf(Build aBuild, std::uint64_t aSize)
{
  const double bytes = HeapBytes();
  const double time = CpuMicroseconds();
  const auto object = aBuild(aSize);
  return { HeapBytes() - bytes, CpuMicroseconds() - time };
}

/// Prints the cost of each further element.
template<class Build>
void
PrintSlope(const std::string& aName, Build aBuild)
{
  const Cost small = CostOf(aBuild, FLAGS_small);
  const Cost large = CostOf(aBuild, FLAGS_large);
  const auto more = static_cast<double>(FLAGS_large - FLAGS_small);
  PrintValue(aName + ".bytes", (large.mBytes - small.mBytes) / more);
  PrintValue(aName + ".cpu_us",
             (large.mMicroseconds - small.mMicroseconds) / more);
}

/// Prints the time of one call, as the mean of many.
template<class Call>
void
PrintCall(const std::string& aName, std::uint64_t aRepeats, Call aCall)
{
  const double before = CpuMicroseconds();
  for (std::uint64_t n = 0; n < aRepeats; ++n) {
    aCall(n);
  }
  PrintValue(aName + ".cpu_us",
             (CpuMicroseconds() - before) / static_cast<double>(aRepeats));
}

ItemEdit
WorkspaceItem(std::uint64_t aNumber)
{
  return { ItemKind::Workspace,
           "workspace-" + std::to_string(aNumber),
           R"({"rate_tokens_per_second":1000,"burst_tokens":5000,)"
           R"("pools":["pre","dec"]})" };
}

ItemEdit
UpstreamItem(std::uint64_t aNumber)
{
  return { ItemKind::Upstream,
           "upstream-" + std::to_string(aNumber),
           R"({"pool":"dec","address":"127.0.0.1:)" +
             std::to_string(1 + aNumber % 60000) +
             R"(","zone":"zone-a","memory_pieces":20,"piece_tokens":4096})" };
}

KeyEntropy
EntropyOf(std::uint64_t aNumber)
{
  KeyEntropy entropy;
  entropy.mSecret[0] = static_cast<unsigned char>(aNumber);
  entropy.mSecret[1] = static_cast<unsigned char>(aNumber >> 8);
  entropy.mSalt[0] = static_cast<unsigned char>(aNumber);
  return entropy;
}

NewKey
KeyOf(std::uint64_t aNumber)
{
  const std::string name = "key-" + std::to_string(aNumber);
  return *MakeKey(name, "workspace-0", EntropyOf(aNumber), nullptr);
}

std::vector<ItemEdit>
PoolItems()
{
  return { { ItemKind::Pool, "pre", R"({"role":"prefill","model":"m"})" },
           { ItemKind::Pool, "dec", R"({"role":"decode","model":"m"})" } };
}

/// A configuration with many items of one kind.
template<class MakeItem>
ConfigurationStore
StoreWith(std::uint64_t aSize, MakeItem aMakeItem)
{
  std::vector<ItemEdit> items = PoolItems();
  for (std::uint64_t n = 0; n < aSize; ++n) {
    items.push_back(aMakeItem(n));
  }
  auto store = ConfigurationStore::FromItems(1, items, nullptr);
  PH_ASSERT(store.has_value());
  return std::move(*store);
}

ConfigChange
ChangeOf(std::uint64_t aVersion)
{
  ConfigChange change;
  change.mVersion = aVersion;
  change.mOperationId = "vm1-000000000000-" + std::to_string(aVersion);
  change.mEdits = { WorkspaceItem(aVersion % FLAGS_small) };
  return change;
}

Member
MemberOf(std::uint64_t aNumber)
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
MembersOf(std::uint64_t aSize)
{
  std::vector<Member> members;
  for (std::uint64_t n = 0; n < aSize; ++n) {
    members.push_back(MemberOf(n + 1));
  }
  return members;
}

void
MeasureConfiguration()
{
  PrintSlope("config.workspace", [](std::uint64_t aSize) {
    return StoreWith(aSize, WorkspaceItem);
  });
  PrintSlope("config.upstream", [](std::uint64_t aSize) {
    return StoreWith(aSize, UpstreamItem);
  });
  ConfigurationStore store = StoreWith(FLAGS_large, WorkspaceItem);
  ViewLog log({});
  log.Reset(1);
  PrintCall("config.change_apply", FLAGS_small, [&](std::uint64_t aNumber) {
    PH_ASSERT(store.Apply(ChangeOf(aNumber + 2), nullptr));
  });
  const double bytes = HeapBytes();
  PrintCall("view.change_log", FLAGS_small, [&](std::uint64_t aNumber) {
    PH_ASSERT(log.Apply(ChangeOf(aNumber + 2)) == ApplyResult::Applied);
  });
  PrintValue("view.change_log.bytes",
             (HeapBytes() - bytes) / static_cast<double>(FLAGS_small));
  PrintValue("message.change.bytes",
             static_cast<double>(ToMessage(ChangeOf(9)).ByteSizeLong()));
  PrintCall("config.copy_whole", 10, [&](std::uint64_t) {
    auto copy = std::make_unique<Configuration>(store.Get());
    PH_ASSERT(copy->mWorkspaces.size() >= FLAGS_large);
  });
}

void
MeasureKeys()
{
  std::map<std::string, KeyRecord> keys;
  for (std::uint64_t n = 0; n < FLAGS_large; ++n) {
    const KeyRecord record = KeyOf(n).mRecord;
    keys[record.mName] = record;
  }
  std::map<std::string, KeyRecord> few;
  for (const auto& it : keys) {
    if (few.size() < FLAGS_small) {
      few.insert(it);
    }
  }
  PrintSlope("keys.key", [&](std::uint64_t aSize) {
    auto ring = std::make_unique<KeyRing>(KeyRing::Settings());
    ring->SetKeys(1, aSize == FLAGS_small ? few : keys);
    return ring;
  });
  KeyRing ring({});
  ring.SetKeys(1, keys);
  PrintCall("keys.set_again", 10, [&](std::uint64_t aNumber) {
    ring.SetKeys(aNumber + 2, keys);
  });
  const std::string text = KeyOf(7).mText;
  PrintCall("keys.authenticate", 20000, [&](std::uint64_t) {
    PH_ASSERT(ring.Authenticate(text, nullptr).has_value());
  });
}

void
MeasureMembers()
{
  PrintSlope("members.member", [](std::uint64_t aSize) {
    auto list =
      std::make_unique<MemberList>(MemberListSettings(), MemberOf(0), kStart);
    list->MergePlatform(MembersOf(aSize), kStart, kStart);
    return list;
  });
  constexpr std::uint64_t kMembers = 690;
  constexpr std::size_t kSent = 64;
  MemberList list({}, MemberOf(0), kStart);
  list.MergePlatform(MembersOf(kMembers), kStart, kStart);
  const std::vector<Member> gossip = MembersOf(kSent);
  PrintCall("members.merge_reply_of_64", 1000, [&](std::uint64_t aNumber) {
    const TimePoint now = kStart + std::chrono::milliseconds(aNumber);
    list.MergeReply(MemberOf(1), gossip, now, now);
  });
  PrintCall("members.export_690", 100, [&](std::uint64_t) {
    PH_ASSERT(list.CurrentMembers(kStart + 2s).size() > kMembers);
  });
  PrintValue("message.member.bytes",
             static_cast<double>(ToMessage(MemberOf(1)).ByteSizeLong()));
}

std::map<std::string, Workspace>
WorkspacesOf(std::uint64_t aSize)
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

std::unique_ptr<AllowanceBook>
BookWith(std::uint64_t aWorkspaces, std::uint64_t aUsed)
{
  auto book =
    std::make_unique<AllowanceBook>(AllowanceBook::Settings(), "entry-1");
  book->SetWorkspaces(WorkspacesOf(aWorkspaces), kStart);
  book->SetPlan(1, { "entry-1", "entry-2", "entry-3" }, kStart);
  book->AllowUntil(kStart + 1h, kStart);
  for (std::uint64_t n = 0; n < aUsed; ++n) {
    book->Spend("workspace-" + std::to_string(n), 1, kStart + 10s);
  }
  return book;
}

void
MeasureAllowance()
{
  PrintSlope("allowance.workspace_known",
             [](std::uint64_t aSize) { return BookWith(aSize, 0); });
  PrintSlope("allowance.workspace_used",
             [](std::uint64_t aSize) { return BookWith(aSize, aSize); });
  const auto book = BookWith(FLAGS_large, FLAGS_large);
  PrintCall("allowance.spend", 100000, [&](std::uint64_t aNumber) {
    const std::string name =
      "workspace-" + std::to_string(aNumber % FLAGS_large);
    book->Spend(name, 0.001, kStart + 11s);
  });
  const auto workspaces = WorkspacesOf(FLAGS_large);
  PrintCall("allowance.set_workspaces", 10, [&](std::uint64_t) {
    book->SetWorkspaces(workspaces, kStart + 12s);
  });
}

void
MeasureUpstreams()
{
  PrintSlope("routing.upstream", [](std::uint64_t aSize) {
    const ConfigurationStore store = StoreWith(aSize, UpstreamItem);
    auto table = std::make_unique<UpstreamTable>();
    table->SetConfiguration(store.Get());
    return table;
  });
  const ConfigurationStore store = StoreWith(FLAGS_large, UpstreamItem);
  UpstreamTable table;
  table.SetConfiguration(store.Get());
  PrintCall("routing.set_configuration", 10, [&](std::uint64_t) {
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
