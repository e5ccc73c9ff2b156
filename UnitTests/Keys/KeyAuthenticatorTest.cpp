/// Tests the parsing of keys, the authentication of callers, and that withdrawn
/// and suspended keys are refused wherever they are checked.
#define BOOST_TEST_MODULE KeyAuthenticator
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Keys/CallerKey.h>
#include <Support/PropertyRun.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

using namespace peridothoist;
using namespace peridothoist::test;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

NewKey
MakeTestKey(const std::string& aName, unsigned char aFill)
{
  KeyEntropy entropy;
  entropy.mSecret.fill(aFill);
  entropy.mSalt.fill(static_cast<unsigned char>(aFill + 1));
  return *MakeKey(aName, "workspace-of-" + aName, entropy, nullptr);
}

std::map<std::string, KeyRecord>
Records(const std::vector<NewKey>& aKeys)
{
  std::map<std::string, KeyRecord> records;
  for (const NewKey& key : aKeys) {
    records[key.mRecord.mName] = key.mRecord;
  }
  return records;
}

} // namespace

RC_BOOST_PROP(AnyTextIsParsedCompletelyOrRefused, (const std::string& aText))
{
  const auto key = CallerKey::Parse(aText, nullptr);
  if (key) {
    RC_ASSERT(key->mName + "." + key->mSecret == aText);
  }
}

RC_BOOST_PROP(OnlyTheKeyItselfAuthenticates,
              (unsigned char aFill, std::size_t aAt, char aOther))
{
  const NewKey key = MakeTestKey("alpha", aFill);
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, Records({ key, MakeTestKey("beta", aFill) }));
  const auto identity = authenticator.Authenticate(key.mText, nullptr);
  RC_ASSERT(identity.has_value());
  RC_ASSERT(identity->mWorkspace == "workspace-of-alpha");

  std::string changed = key.mText;
  changed[aAt % changed.size()] = aOther;
  const bool isSame = changed == key.mText;
  RC_ASSERT(authenticator.Authenticate(changed, nullptr).has_value() == isSame);
}

BOOST_AUTO_TEST_CASE(RecordsHoldNoSecret)
{
  const NewKey key = MakeTestKey("alpha", 7);
  const std::string secret = CallerKey::Parse(key.mText, nullptr)->mSecret;
  BOOST_TEST(key.mRecord.mDigest.size() == 64u);
  BOOST_TEST(key.mRecord.mDigest.find(secret) == std::string::npos);
  BOOST_TEST(key.mRecord.mSalt.find(secret) == std::string::npos);
}

BOOST_AUTO_TEST_CASE(ReasonsContainNoSecret)
{
  KeyAuthenticator authenticator({});
  Reason reason;
  for (const char* text : { "s3cr3t", "alpha.s3cr3t", "alpha.s3cr3t!" }) {
    BOOST_TEST(!authenticator.Authenticate(text, &reason).has_value());
    BOOST_TEST(reason.mText.find("s3cr3t") == std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(WithdrawnKeyIsRefusedAtDispatchToo)
{
  const NewKey old = MakeTestKey("alpha", 1);
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, Records({ old }));
  const KeyIdentity identity = *authenticator.Authenticate(old.mText, nullptr);
  BOOST_TEST(authenticator.IsStillValid(identity, nullptr));

  authenticator.SetKeys(2, {});
  BOOST_TEST(!authenticator.IsStillValid(identity, nullptr));
  // A new key of the same name doesn't make the old identity valid again.
  authenticator.SetKeys(3, Records({ MakeTestKey("alpha", 2) }));
  BOOST_TEST(!authenticator.IsStillValid(identity, nullptr));
  BOOST_TEST(!authenticator.Authenticate(old.mText, nullptr).has_value());
}

BOOST_AUTO_TEST_CASE(OlderViewDoesNotRestoreAWithdrawnKey)
{
  const NewKey key = MakeTestKey("alpha", 1);
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(5, {});
  BOOST_TEST(!authenticator.SetKeys(4, Records({ key })));
  BOOST_TEST(!authenticator.Authenticate(key.mText, nullptr).has_value());
}

BOOST_AUTO_TEST_CASE(NoKeyMatchesARecordWithAnEmptyDigest)
{
  KeyRecord record;
  record.mName = "alpha";
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, { { "alpha", record } });
  BOOST_TEST(!authenticator.Authenticate("alpha.x", nullptr).has_value());
}

namespace {

/// One step of the test of suspensions at one VM.
struct SuspensionStep
{
  unsigned mOp = 0;
  unsigned mWhich = 0;
};

std::ostream&
operator<<(std::ostream& aOut, const SuspensionStep& aStep)
{
  return aOut << aStep.mOp << ':' << aStep.mWhich;
}

} // namespace

namespace rc {

template<>
struct Arbitrary<SuspensionStep>
{
  static Gen<SuspensionStep> arbitrary()
  {
    return gen::build<SuspensionStep>(
      gen::set(&SuspensionStep::mOp, gen::inRange(0u, 4u)),
      gen::set(&SuspensionStep::mWhich, gen::inRange(0u, 6u)));
  }
};

} // namespace rc

/// Operation i would make version i + 2 and withdraw the key. Peers keep
/// sending its suspension. The key is refused exactly while an operation is in
/// doubt, however much time passes.
RC_BOOST_PROP(SuspensionEndsOnlyWithItsCommit,
              (const std::vector<SuspensionStep>& aSteps))
{
  const NewKey key = MakeTestKey("alpha", 1);
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, Records({ key }));
  std::set<unsigned> inDoubt;
  std::set<unsigned> settled;
  std::uint64_t version = 1;
  TimePoint now = kStart;
  for (const SuspensionStep& step : aSteps) {
    const unsigned i = step.mWhich;
    const std::string operation = "operation-" + std::to_string(i);
    if (step.mOp == 0) {
      RC_ASSERT(authenticator.Suspend(
        { operation, i + 2, { "alpha" }, Duration{ 0 } }, now));
      if (settled.count(i) == 0 && i + 2 > version) {
        inDoubt.insert(i);
      }
    } else if (step.mOp == 1) {
      authenticator.Settle(operation);
      settled.insert(i);
      inDoubt.erase(i);
    } else if (step.mOp == 2) {
      version = std::max<std::uint64_t>(version, i + 2);
      authenticator.SetKeys(version, Records({ key }));
      inDoubt.erase(inDoubt.begin(),
                    inDoubt.upper_bound(static_cast<unsigned>(version - 2)));
    } else {
      now += std::chrono::minutes(1);
    }
    RC_ASSERT(authenticator.Authenticate(key.mText, nullptr).has_value() ==
              inDoubt.empty());
    RC_ASSERT(authenticator.Suspensions(now).size() == inDoubt.size());
  }
}

/// A suspension that ended after some time would accept a withdrawn key again
/// while its commit is still in doubt.
BOOST_AUTO_TEST_CASE(SuspensionDoesNotEndByAge)
{
  const NewKey key = MakeTestKey("alpha", 1);
  KeyAuthenticator authenticator({});
  authenticator.SetKeys(1, Records({ key }));
  authenticator.Suspend({ "operation", 2, { "alpha" }, Duration{ 0 } }, kStart);
  const TimePoint later = kStart + std::chrono::minutes(10);
  BOOST_TEST(!authenticator.Authenticate(key.mText, nullptr).has_value());
  BOOST_TEST(authenticator.Overdue(kStart + 1s).empty());
  BOOST_TEST(authenticator.Overdue(later).size() == 1u);

  // A faulty peer that drops the suspension after ten seconds accepts the key.
  KeyAuthenticator faultyPeer({});
  faultyPeer.SetKeys(1, Records({ key }));
  faultyPeer.Suspend({ "operation", 2, { "alpha" }, Duration{ 0 } }, kStart);
  for (const KeySuspension& it : faultyPeer.Overdue(later)) {
    faultyPeer.Settle(it.mOperationId);
  }
  BOOST_TEST(faultyPeer.Authenticate(key.mText, nullptr).has_value());
}

BOOST_AUTO_TEST_CASE(SuspendReturnsFalseWhenFull)
{
  KeyAuthenticatorSettings settings;
  settings.mMaxSuspensions = 1;
  KeyAuthenticator authenticator(settings);
  BOOST_TEST(
    authenticator.Suspend({ "one", 2, { "a" }, Duration{ 0 } }, kStart));
  BOOST_TEST(
    authenticator.Suspend({ "one", 2, { "a" }, Duration{ 0 } }, kStart));
  BOOST_TEST(
    !authenticator.Suspend({ "two", 2, { "b" }, Duration{ 0 } }, kStart));
}
