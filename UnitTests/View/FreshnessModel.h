/// Model of VMs, a platform and the network between them, for tests of the
/// freshness rule. The product's classes make all decisions; only the messages
/// are modelled.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/View/ChangeGuard.h>
#include <Peridothoist/View/ViewFreshness.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// Faulty implementations that the model must detect.
enum class Naive
{
  None,
  ResetAges,         ///< A reply confirms the time at which it arrives.
  TrustRequests,     ///< Requests confirm, too.
  ListedMembersOnly, ///< Rule (c) requires only members on the platform's list.
  NoChangeGuard,     ///< Changes are accepted without ChangeGuard.
  NoInDoubt,         ///< No member reports a commit in doubt.
  ForgetRestarts,    ///< Reports of restarted members count.
  AnyVersion         ///< Rule (c) doesn't compare versions.
};

/// One step of a run.
struct Step
{
  unsigned mOp = 0;
  unsigned mNode = 0;
  unsigned mOther = 0;
  unsigned mDetail = 0;
};

inline std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << aStep.mOp << ':' << aStep.mNode << ':' << aStep.mOther << ':'
              << aStep.mDetail;
}

/// The platform's state that the freshness rule depends on.
struct ModelPlatform
{
  ViewStamp mStamp;
  std::vector<std::string> mAuthors; ///< Author of version i + 1.
  std::vector<Member> mListed;
  bool mIsUp = true;
};

/// One VM.
struct ModelNode
{
  Member mSelf;
  unsigned mGroup = 0;    ///< Network partition that the VM is in.
  bool mIsCutOff = false; ///< The platform is unreachable for it.
  bool mIsPaused = false;
  bool mIsAlive = true;
  unsigned mIncarnation = 1;
  TimePoint mStartedAt{};
  std::unique_ptr<MemberList> mList;
  std::unique_ptr<ViewFreshness> mView;
  std::unique_ptr<OutageAgreement> mAgreement;
  std::optional<ViewStamp> mPendingCommit; ///< Sent, but its result is unknown.
};

/// A change that took effect. VMs may act without it for the staleness limit.
struct ModelChange
{
  ViewStamp mStamp;
  TimePoint mEffectiveFrom;
};

/// Runs steps, and detects VMs that act on a stale view.
class FreshnessModel
{
public:
  static constexpr Duration kLimit = std::chrono::seconds(2);
  static constexpr Duration kMaxCommitDelay = std::chrono::seconds(3);
  static constexpr unsigned kOps = 16;
  static constexpr std::size_t kMaxNodes = 7;

  explicit FreshnessModel(Naive aNaive)
    : mNaive(aNaive)
    , mNow(std::chrono::hours(1))
  {
    for (unsigned i = 0; i < 3; ++i) {
      AddNode();
    }
    UpdatePlatformList();
    for (unsigned i = 0; i < 20; ++i) {
      Advance(200ms);
      ExchangeAll();
    }
  }

  void Run(const Step& aStep)
  {
    const std::size_t a = aStep.mNode % mNodes.size();
    const std::size_t b = aStep.mOther % mNodes.size();
    ModelNode& node = mNodes[a];
    switch (aStep.mOp % kOps) {
      case 0:
      case 1:
        Advance(std::chrono::milliseconds(50 + aStep.mDetail % 900));
        break;
      case 2:
      case 3:
        ExchangeAll();
        break;
      case 4:
        Poll(a, aStep.mDetail % 4 == 0);
        break;
      case 5:
      case 6:
        Exchange(a, b, aStep.mDetail % 3 == 0);
        break;
      case 7:
      case 8:
        Commit(a, aStep.mOther % 2 == 0, aStep.mDetail % 4);
        break;
      case 9:
        mPlatform.mIsUp = !mPlatform.mIsUp;
        break;
      case 10:
        node.mIsCutOff = !node.mIsCutOff;
        break;
      case 11:
        node.mGroup = aStep.mDetail % 2;
        break;
      case 12:
        if (mNodes.size() < kMaxNodes) {
          AddNode();
          mNodes.back().mGroup = node.mGroup;
        }
        break;
      case 13:
        Restart(a);
        break;
      case 14:
        node.mIsPaused = !node.mIsPaused;
        break;
      default:
        if (aStep.mDetail % 4 == 0) {
          UpdatePlatformList();
        } else if (aStep.mDetail % 4 == 1) {
          mAreChangesLost = !mAreChangesLost;
        } else {
          Deliver(aStep.mOther);
        }
        break;
    }
  }

  /// Returns whether any VM acts without a change that took effect longer ago
  /// than the staleness limit.
  bool IsAnyVmActingOnStaleView() const
  {
    for (const ModelNode& node : mNodes) {
      if (!node.mIsAlive || node.mIsPaused ||
          node.mView->CheckFreshness(mNow)) {
        continue;
      }
      for (const ModelChange& change : mChanges) {
        if (change.mEffectiveFrom + kLimit <= mNow &&
            !node.mView->Stamp().Covers(change.mStamp)) {
          return true;
        }
      }
    }
    return false;
  }

  void Advance(Duration aSpan) { mNow += aSpan; }

  /// Lets every VM poll the platform and exchange members with all other VMs.
  void ExchangeAll()
  {
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      Poll(i, false);
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      for (std::size_t j = 0; j < mNodes.size(); ++j) {
        Exchange(i, j, false);
      }
    }
  }

  std::size_t CountFresh() const
  {
    return std::count_if(
      mNodes.begin(), mNodes.end(), [this](const ModelNode& aNode) {
        return aNode.mView->IsFresh(mNow);
      });
  }

  std::size_t CountChanges() const { return mChanges.size(); }
  ModelPlatform& Platform() { return mPlatform; }
  ModelNode& Node(std::size_t aIndex) { return mNodes[aIndex]; }
  void CommitNow(std::size_t aNode) { Commit(aNode, true, 3); }

private:
  struct Message
  {
    std::optional<std::size_t> mTo; ///< Empty for the platform.
    unsigned mIncarnation;
    std::function<void()> mDeliver;
  };

  void AddNode()
  {
    ModelNode node;
    const std::size_t n = mNodes.size();
    node.mSelf.mVm = "vm" + std::to_string(n);
    node.mSelf.mZone = "zone" + std::to_string(n % 3);
    node.mSelf.mControlPeer = node.mSelf.mVm;
    mNodes.push_back(std::move(node));
    Start(mNodes.back());
  }

  void Start(ModelNode& aNode)
  {
    aNode.mSelf.mControlInstance =
      aNode.mSelf.mVm + "#" + std::to_string(aNode.mIncarnation);
    aNode.mStartedAt = mNow;
    aNode.mSelf.mRunningFor = Duration{ 0 };
    aNode.mSelf.mStamp = {};
    aNode.mSelf.mPlatformUnreachable = true;
    aNode.mSelf.mCommitInDoubt = false;
    aNode.mPendingCommit.reset();
    aNode.mList =
      std::make_unique<MemberList>(MemberListSettings{}, aNode.mSelf, mNow);
    ViewFreshnessSettings settings;
    settings.mStalenessLimit = kLimit;
    aNode.mView = std::make_unique<ViewFreshness>(settings);
    aNode.mAgreement = std::make_unique<OutageAgreement>(
      OutageAgreementSettings{ kLimit, kMaxCommitDelay });
  }

  void Restart(std::size_t aNode)
  {
    ModelNode& node = mNodes[aNode];
    ++node.mIncarnation;
    node.mIsPaused = false;
    Start(node);
  }

  /// Updates the platform's list, which otherwise lags behind.
  void UpdatePlatformList()
  {
    mPlatform.mListed.clear();
    for (const ModelNode& node : mNodes) {
      mPlatform.mListed.push_back(node.mSelf);
    }
  }

  bool ReachesPlatform(const ModelNode& aNode) const
  {
    return mPlatform.mIsUp && !aNode.mIsCutOff && !aNode.mIsPaused;
  }

  void Send(std::size_t aTo, bool aDelayed, std::function<void()> aDeliver)
  {
    if (aDelayed || mNodes[aTo].mIsPaused) {
      mMessagesInTransit.push_back(
        { aTo, mNodes[aTo].mIncarnation, std::move(aDeliver) });
    } else {
      aDeliver();
    }
  }

  void Deliver(unsigned aWhich)
  {
    if (mMessagesInTransit.empty()) {
      return;
    }
    const std::size_t i = aWhich % mMessagesInTransit.size();
    const std::optional<std::size_t> to = mMessagesInTransit[i].mTo;
    if (to && mNodes[*to].mIsPaused) {
      return;
    }
    const Message message = std::move(mMessagesInTransit[i]);
    mMessagesInTransit.erase(mMessagesInTransit.begin() +
                             static_cast<std::ptrdiff_t>(i));
    if (!to || mNodes[*to].mIncarnation == message.mIncarnation) {
      message.mDeliver();
    }
  }

  // Reports and agreement.

  Member UpdateSelf(ModelNode& aNode)
  {
    aNode.mSelf.mStamp = aNode.mView->Stamp();
    aNode.mSelf.mCommitInDoubt =
      mNaive != Naive::NoInDoubt && aNode.mPendingCommit.has_value();
    aNode.mSelf.mRunningFor = mNow - aNode.mStartedAt;
    aNode.mList->SetSelf(aNode.mSelf, mNow);
    return aNode.mSelf;
  }

  void EvaluateAgreement(ModelNode& aNode)
  {
    UpdateSelf(aNode);
    std::vector<MemberReport> reports = aNode.mList->MemberReports(mNow);
    if (mNaive == Naive::ForgetRestarts) {
      for (MemberReport& report : reports) {
        report.mStartedBy = TimePoint{};
      }
    }
    if (!aNode.mSelf.mPlatformUnreachable) {
      return;
    }
    if (mNaive == Naive::ListedMembersOnly) {
      RemoveUnlisted(aNode, reports);
    }
    const ViewStamp heldStamp = mNaive == Naive::AnyVersion
                                  ? ViewStamp{ ~0ull, ~0ull }
                                  : aNode.mView->Stamp();
    const AgreementResult result = aNode.mAgreement->Evaluate(
      heldStamp, aNode.mView->ConfirmedAt(), reports, mNow);
    if (result.mObstacle == AgreementObstacle::None) {
      aNode.mView->ConfirmByAgreement(aNode.mView->Stamp(), result.mAsOf);
    }
  }

  static void RemoveUnlisted(const ModelNode& aNode,
                             std::vector<MemberReport>& aReports)
  {
    std::map<std::string, bool> listed;
    for (const ChangeGuardMember& it :
         aNode.mList->ChangeGuardMembers(TimePoint{})) {
      listed[it.mVm] = it.mIsListed;
    }
    aReports.erase(std::remove_if(aReports.begin(),
                                  aReports.end(),
                                  [&](const MemberReport& aReport) {
                                    return !listed[aReport.mVm];
                                  }),
                   aReports.end());
  }

  // Messages.

  void Poll(std::size_t aNode, bool aDelayed)
  {
    ModelNode& node = mNodes[aNode];
    if (node.mIsPaused) {
      return;
    }
    if (!ReachesPlatform(node)) {
      node.mSelf.mPlatformUnreachable = true;
      EvaluateAgreement(node);
      return;
    }
    Send(aNode,
         aDelayed,
         [this,
          aNode,
          sent = mNow,
          stamp = mPlatform.mStamp,
          listed = mPlatform.mListed] {
           ReceivePlatformState(mNodes[aNode], stamp, listed, sent);
         });
  }

  void ReceivePlatformState(ModelNode& aNode,
                            const ViewStamp& aStamp,
                            const std::vector<Member>& aListed,
                            TimePoint aSent)
  {
    aNode.mSelf.mPlatformUnreachable = false;
    aNode.mList->MergePlatformList(aListed, aSent, mNow);
    aNode.mView->AdvanceStamp(aStamp);
    aNode.mView->ConfirmByPlatform(aStamp, aSent);
    ResolvePendingCommit(aNode, aStamp);
    EvaluateAgreement(aNode);
  }

  void Exchange(std::size_t aFrom, std::size_t aTo, bool aDelayed)
  {
    ModelNode& from = mNodes[aFrom];
    if (aFrom == aTo || from.mIsPaused || from.mGroup != mNodes[aTo].mGroup) {
      return;
    }
    const Member self = UpdateSelf(from);
    const Duration age = from.mView->Age(mNow).value_or(std::chrono::hours(1));
    Send(aTo,
         aDelayed,
         [this,
          aFrom,
          aTo,
          self,
          age,
          aDelayed,
          sent = mNow,
          members = from.mList->CurrentMembers(mNow),
          incarnation = from.mIncarnation] {
           ModelNode& to = mNodes[aTo];
           to.mList->MergeRequest(self, members, mNow);
           if (mNaive == Naive::TrustRequests) {
             ReceiveReply(to, self, members, age, mNow);
           }
           ApplyChangesFrom(to, self);
           EvaluateAgreement(to);
           if (mNodes[aFrom].mIncarnation == incarnation &&
               to.mGroup == mNodes[aFrom].mGroup) {
             Reply(aTo, aFrom, aDelayed, sent);
           }
         });
  }

  void Reply(std::size_t aFrom, std::size_t aTo, bool aDelayed, TimePoint aSent)
  {
    ModelNode& from = mNodes[aFrom];
    const Member self = UpdateSelf(from);
    const Duration age = from.mView->Age(mNow).value_or(std::chrono::hours(1));
    Send(aTo,
         aDelayed,
         [this,
          aTo,
          self,
          age,
          aSent,
          members = from.mList->CurrentMembers(mNow)] {
           ReceiveReply(mNodes[aTo], self, members, age, aSent);
         });
  }

  void ReceiveReply(ModelNode& aNode,
                    const Member& aSender,
                    const std::vector<Member>& aMembers,
                    Duration aAge,
                    TimePoint aSent)
  {
    aNode.mList->MergeReply(aSender, aMembers, aSent, mNow);
    ApplyChangesFrom(aNode, aSender);
    const Duration age = mNaive == Naive::ResetAges ? Duration{ 0 } : aAge;
    const TimePoint sent = mNaive == Naive::ResetAges ? mNow : aSent;
    aNode.mView->ConfirmByPeer(aSender.mStamp, age, sent);
    EvaluateAgreement(aNode);
  }

  /// Applies the changes that came with a message, unless they are lost.
  void ApplyChangesFrom(ModelNode& aNode, const Member& aSender)
  {
    if (!mAreChangesLost) {
      aNode.mView->AdvanceStamp(
        ComponentwiseMax(aNode.mView->Stamp(), aSender.mStamp));
    }
  }

  static ViewStamp ComponentwiseMax(const ViewStamp& aLeft,
                                    const ViewStamp& aRight)
  {
    return { std::max(aLeft.mVersion, aRight.mVersion),
             std::max(aLeft.mPlanEpoch, aRight.mPlanEpoch) };
  }

  // Changes.

  /// Sends a commit. aDelivery 0: the commit is delayed; 1: its response is
  /// delayed; 2: its response is lost; otherwise there is no fault.
  void Commit(std::size_t aNode, bool aIsPlan, unsigned aDelivery)
  {
    ModelNode& node = mNodes[aNode];
    if (!ReachesPlatform(node) || node.mPendingCommit ||
        node.mView->CheckFreshness(mNow)) {
      return;
    }
    const ChangeGuardResult guardResult =
      ChangeGuard({}).Check(node.mList->ChangeGuardMembers(mNow), "");
    if (!guardResult.mIsAllowed && mNaive != Naive::NoChangeGuard) {
      return;
    }
    ViewStamp next = node.mView->Stamp();
    ++(aIsPlan ? next.mPlanEpoch : next.mVersion);
    node.mPendingCommit = next;
    auto commit = [this,
                   sent = mNow,
                   aNode,
                   aIsPlan,
                   aDelivery,
                   next,
                   author = node.mSelf.mControlInstance,
                   incarnation = node.mIncarnation] {
      if (mNow < sent + kMaxCommitDelay) {
        ApplyCommit(aNode, aIsPlan, aDelivery, next, author, incarnation);
      }
    };
    if (aDelivery == 0) {
      // A commit in transit arrives even when its author has stopped.
      mMessagesInTransit.push_back({ std::nullopt, 0, std::move(commit) });
    } else {
      commit();
    }
  }

  void ApplyCommit(std::size_t aNode,
                   bool aIsPlan,
                   unsigned aDelivery,
                   const ViewStamp& aNext,
                   const std::string& aAuthor,
                   unsigned aIncarnation)
  {
    const std::uint64_t before =
      aIsPlan ? mPlatform.mStamp.mPlanEpoch : mPlatform.mStamp.mVersion;
    const std::uint64_t next = aIsPlan ? aNext.mPlanEpoch : aNext.mVersion;
    const bool isCommitted = before + 1 == next;
    if (isCommitted) {
      (aIsPlan ? mPlatform.mStamp.mPlanEpoch : mPlatform.mStamp.mVersion) =
        next;
      mAuthors[{ aIsPlan, next }] = aAuthor;
      if (aIsPlan) {
        // A plan takes effect at once, because VMs act on it when they read it.
        mChanges.push_back({ { 0, next }, mNow });
      }
    }
    if (aDelivery == 2 || mNodes[aNode].mIncarnation != aIncarnation) {
      return;
    }
    Send(aNode, aDelivery == 1, [this, aNode, aNext, isCommitted] {
      ModelNode& node = mNodes[aNode];
      if (!node.mPendingCommit || !(*node.mPendingCommit == aNext)) {
        return;
      }
      isCommitted ? Accept(node) : node.mPendingCommit.reset();
    });
  }

  void Accept(ModelNode& aNode)
  {
    const ViewStamp committed = *aNode.mPendingCommit;
    aNode.mPendingCommit.reset();
    aNode.mView->AdvanceStamp(
      ComponentwiseMax(aNode.mView->Stamp(), committed));
    mChanges.push_back({ { committed.mVersion, 0 }, mNow });
  }

  /// Determines by a read of the platform whether a commit in doubt took
  /// effect.
  void ResolvePendingCommit(ModelNode& aNode, const ViewStamp& aRead)
  {
    if (!aNode.mPendingCommit || !aRead.Covers(*aNode.mPendingCommit)) {
      return;
    }
    const ViewStamp committed = *aNode.mPendingCommit;
    const bool isOwn =
      mAuthors[{ false, committed.mVersion }] == aNode.mSelf.mControlInstance;
    isOwn ? Accept(aNode) : aNode.mPendingCommit.reset();
  }

  Naive mNaive;
  bool mAreChangesLost = false; ///< Messages carry stamps but no changes.
  TimePoint mNow;
  ModelPlatform mPlatform;
  std::vector<ModelNode> mNodes;
  std::vector<Message> mMessagesInTransit;
  std::vector<ModelChange> mChanges;
  std::map<std::pair<bool, std::uint64_t>, std::string> mAuthors;
};

} // namespace peridothoist::test
