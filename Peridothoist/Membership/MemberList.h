/// The VMs that a control process knows of: the platform's lagging list merged
/// with what VMs say of themselves and of each other.
///
/// Times. A word that came in a reply was true at some time in [L, U] on this
/// process's clock: L is when the request was sent, less the age carried; U is
/// when the reply came. Freshness uses L (never too young). That one instance
/// replaced another for certain is known only when L of the new one's word is
/// later than U of the old one's: gossip that crossed proves nothing. A word
/// in a request has no L; it makes a VM known and its leaving, nothing more.
///
/// Forgetting. A VM is forgotten when the platform no longer lists it and it
/// has been silent for mForgetAfter. While the platform's list can't be read
/// nobody is forgotten: rule (c) of the freshness rule counts on them.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/View/ChangeGate.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <deque>
#include <set>

namespace peridothoist {

/// Limits of a MemberList.
struct MemberListSettings
{
  Duration mSilenceLimit = std::chrono::seconds(2); ///< Then it counts silent.
  Duration mForgetAfter = std::chrono::minutes(2);  ///< Longer than any limit.
  /// A VM absent from a list read this lately counts as not listed.
  Duration mListLimit = std::chrono::seconds(30);
  std::size_t mMaxTerminated = 4096; ///< Gone instances remembered.
};

/// An entry instance that certainly doesn't run any more.
struct GoneInstance
{
  std::string mVm;
  std::string mEntryInstance;
};

/// Merges all that is known of the members. One per control process.
class MemberList
{
public:
  using Settings = MemberListSettings;

  MemberList(const Settings& aSettings, const Member& aSelf, TimePoint aNow);

  /// What this VM says of itself from now on. Its mEntryInstance is that of
  /// the entry process that follows lately; empty: none does.
  void SetSelf(const Member& aSelf, TimePoint aNow);

  /// The platform's list, from a read sent at aSent.
  void MergePlatform(const std::vector<Member>& aListed,
                     TimePoint aSent,
                     TimePoint aNow);

  /// A reply to a request sent at aSent, from aSender about aOthers.
  void MergeReply(const Member& aSender,
                  const std::vector<Member>& aOthers,
                  TimePoint aSent,
                  TimePoint aNow);

  /// A request that came in: makes VMs known, with no word on how fresh.
  void MergeRequest(const Member& aSender,
                    const std::vector<Member>& aOthers,
                    TimePoint aNow);

  /// Drops members by the forget rule above.
  void Forget(TimePoint aNow);

  /// Everyone known, this VM first, with ages as of now.
  std::vector<Member> Export(TimePoint aNow) const;

  /// Up to aCount other VMs to exchange with now: one of each zone in turn,
  /// the longest unasked first and ties at random.
  std::vector<Member> PickPeers(std::size_t aCount,
                                TimePoint aNow,
                                Random& aRandom);

  // Inputs to the View folder's decisions.
  std::vector<MemberReport> Words(TimePoint aNow) const;
  std::vector<ChangeGuardMember> GateMembers(TimePoint aNow) const;
  std::vector<InForceMember> InForceMembers() const;

  /// Entry instances that are gone for certain: replaced by a newer instance
  /// of the same VM, or of a VM that is absent from a recent platform list and
  /// has been silent for mForgetAfter.
  std::vector<GoneInstance> Gone(TimePoint aNow) const;

  std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    Member mMember;                       ///< As last merged.
    TimePoint mFirstKnown;                ///< Only moves back.
    std::optional<TimePoint> mReportedFrom;  ///< L of the latest word.
    std::optional<TimePoint> mReportedUntil; ///< U of the latest word.
    std::optional<TimePoint> mLastExchangeAt;  ///< Its own latest reply: sent at.
    std::optional<TimePoint> mLastPickedAt;      ///< Last picked as a peer.
    bool mListed = false;                 ///< On the platform's latest list.
    bool mListedLeaving = false;          ///< And said to leave there.
    TimePoint mStartedBy; ///< Its control instance had started by then.
    /// The latest entry instance, kept when a word names none.
    std::string mEntryInstance;
    std::optional<TimePoint> mEntryUntil; ///< U of its latest word.
  };

  Record& FindOrAddRecord(const Member& aMember, TimePoint aNow);
  void MergeReport(const Member& aMember, TimePoint aSent, TimePoint aNow);
  void MergeStartTime(Record& aRecord, const Member& aBefore, TimePoint aUntil);
  void MergeEntryInstance(Record& aRecord,
                 const Member& aMember,
                 TimePoint aFrom,
                 TimePoint aUntil);
  bool IsExpired(const Record& aRecord, TimePoint aNow) const;
  void RecordTerminated(const GoneInstance& aGone);
  Member WithCurrentAges(const Record& aRecord, TimePoint aNow) const;

  Settings mSettings;
  std::string mSelf;
  std::map<std::string, Record> mRecords; ///< By VM; always holds mSelf.
  std::optional<TimePoint> mListReadAt;   ///< Sent time of the latest list.
  std::deque<GoneInstance> mTerminated;         ///< Oldest first, bounded.
  std::set<std::string> mTerminatedInstances;   ///< The same, by instance.
};

} // namespace peridothoist
