/// The VMs that a control process knows: the platform's list, which lags
/// behind, merged with the reports of VMs about themselves and each other.
///
/// Times. A report received in a reply was true at some time in [L, U] on
/// this process's clock: L is when the request was sent, less the age carried;
/// U is when the reply arrived. Freshness uses L, so that a report never looks
/// fresher than it is. It is certain that one instance replaced another only
/// when L of the new one's report is later than U of the old one's, because
/// messages may overtake each other. A report in a request has no L: it only
/// makes a VM known and marks it as leaving.
///
/// Forgetting. A VM is forgotten when the platform no longer lists it and it
/// has been silent for mForgetAfter. While the platform's list can't be read,
/// no VM is forgotten, because rule (c) of the freshness rule (OutageAgreement)
/// requires the reports of all known VMs.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Membership/Member.h>
#include <Peridothoist/View/ChangeGuard.h>
#include <Peridothoist/View/InForceTracker.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <deque>
#include <set>

namespace peridothoist {

/// Limits of a MemberList.
struct MemberListSettings
{
  /// Time after the last report from which a VM counts as silent.
  Duration mSilenceLimit = std::chrono::seconds(2);
  /// See the forgetting rule above. Longer than any other time limit here.
  Duration mForgetAfter = std::chrono::minutes(2);
  /// A VM counts as not listed when it is absent from a list that was read no
  /// longer ago than this.
  Duration mMaxListAge = std::chrono::seconds(30);
  std::size_t mMaxTerminated = 4096; ///< Limit of the stored instances.
};

/// An entry instance that has certainly terminated.
struct TerminatedInstance
{
  std::string mVm;
  std::string mEntryInstance;
};

/// Merges all reports about the members. Each control process has one
/// instance.
class MemberList
{
public:
  using Settings = MemberListSettings;

  MemberList(const Settings& aSettings, const Member& aSelf, TimePoint aNow);

  /// Sets this VM's report about itself. Its mEntryInstance is that of the
  /// entry process that sends follow requests to this process; empty when none
  /// does.
  void SetSelf(const Member& aSelf, TimePoint aNow);

  /// Merges the platform's list, from a read that was sent at aSent.
  void MergePlatformList(const std::vector<Member>& aListed,
                         TimePoint aSent,
                         TimePoint aNow);

  /// Merges a reply of aSender to a request that was sent at aSent.
  void MergeReply(const Member& aSender,
                  const std::vector<Member>& aOthers,
                  TimePoint aSent,
                  TimePoint aNow);

  /// Merges an incoming request, which makes VMs known but doesn't count as a
  /// report about them.
  void MergeRequest(const Member& aSender,
                    const std::vector<Member>& aOthers,
                    TimePoint aNow);

  /// Removes members by the forgetting rule above.
  void RemoveExpired(TimePoint aNow);

  /// Returns all known members with their current ages, this VM first.
  std::vector<Member> CurrentMembers(TimePoint aNow) const;

  /// Returns up to aCount other VMs to exchange members with now: one of each
  /// zone in turn, those that were picked longest ago first and ties at random.
  std::vector<Member> PickPeers(std::size_t aCount,
                                TimePoint aNow,
                                Random& aRandom);

  // Inputs for OutageAgreement, ChangeGuard and InForceTracker.

  std::vector<MemberReport> MemberReports(TimePoint aNow) const;
  std::vector<ChangeGuardMember> ChangeGuardMembers(TimePoint aNow) const;
  std::vector<InForceMember> InForceMembers() const;

  /// Returns the entry instances that have certainly terminated: those that
  /// were replaced by a newer instance of the same VM, and those of a VM that
  /// is absent from a recent platform list and has been silent for
  /// mForgetAfter.
  std::vector<TerminatedInstance> TerminatedInstances(TimePoint aNow) const;

  std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    Member mMember;                          ///< As last merged.
    TimePoint mFirstKnown;                   ///< Never increases.
    std::optional<TimePoint> mReportedFrom;  ///< L of the last report.
    std::optional<TimePoint> mReportedUntil; ///< U of the last report.
    /// When the request was sent to which the VM itself last replied.
    std::optional<TimePoint> mLastExchangeAt;
    std::optional<TimePoint> mLastPickedAt; ///< When it was picked as a peer.
    bool mIsListed = false;          ///< It is on the platform's last list.
    bool mIsListedAsLeaving = false; ///< The list says that it leaves.
    TimePoint mStartedBy; ///< Its control instance had started by then.
    /// The last entry instance, which is kept when a report has none.
    std::string mEntryInstance;
    std::optional<TimePoint> mEntryUntil; ///< U of that instance's last report.
  };

  Record& FindOrAddRecord(const Member& aMember, TimePoint aNow);
  void MergeReport(const Member& aMember, TimePoint aSent, TimePoint aNow);
  void MergeStartTime(Record& aRecord, const Member& aBefore, TimePoint aUntil);
  void MergeEntryInstance(Record& aRecord,
                          const Member& aMember,
                          TimePoint aFrom,
                          TimePoint aUntil);
  /// Returns whether the forgetting rule applies.
  bool IsExpired(const Record& aRecord, TimePoint aNow) const;
  void RecordTerminated(const TerminatedInstance& aInstance);
  Member WithCurrentAges(const Record& aRecord, TimePoint aNow) const;

  Settings mSettings;
  std::string mSelfVm;
  std::map<std::string, Record> mRecords; ///< By VM; always contains mSelfVm.
  /// Send time of the last read of the platform's list.
  std::optional<TimePoint> mListReadSentAt;
  std::deque<TerminatedInstance> mTerminated; ///< Oldest first; bounded.
  std::set<std::string> mTerminatedInstances; ///< Instances of mTerminated.
};

} // namespace peridothoist
