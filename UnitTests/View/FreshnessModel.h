/// A small model of VMs, a platform and the network between them, for the
/// freshness rule: every decision is the core's, only messages are modelled.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Membership/MemberList.h>
#include <Peridothoist/View/ChangeGate.h>
#include <Peridothoist/View/FreshView.h>
#include <Peridothoist/View/OutageAgreement.h>

#include <algorithm>
#include <ostream>

namespace peridothoist::test {

/// A way of doing it wrong, to show that the model finds it.
enum class Naive
{
  None,
  ResetAges,         ///< A peer's word counts from now on.
  TrustRequests,     ///< Ages in requests count, too.
  ListedMembersOnly, ///< Rule (c) asks the platform's list alone.
  NoGate,            ///< Changes are accepted without exchanges.
  NoInDoubt,         ///< Nobody says that a commit is under way.
  ForgetRestarts,    ///< A restarted member's word is as good as before.
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

/// The platform, as far as freshness needs it.
struct ModelPlatform
{
  ViewStamp mStamp;
  std::vector<std::string> mAuthors; ///< Of version i + 1.
  std::vector<Member> mListed;
  bool mUp = true;
};

/// One VM.
struct ModelNode
{
  Member mSelf;
  unsigned mGroup = 0; ///< VMs of different groups don't reach each other.
  bool mCutOff = false;
  bool mPaused = false;
  bool mAlive = true;
  unsigned mIncarnation = 1;
  TimePoint mStartedAt{};
  std::unique_ptr<MemberList> mList;
  std::unique_ptr<FreshView> mView;
  std::unique_ptr<OutageAgreement> mAgreement;
  std::optional<ViewStamp> mCommitting; ///< Sent, not settled.
};

/// A change that took effect, and when VMs may no longer act without it.
struct ModelChange
{
  ViewStamp mStamp;
  TimePoint mBindingFrom;
};

/// Runs steps and checks after each that nobody acts on a stale view.
class FreshnessModel
{
public:
  static constexpr Duration kLimit = std::chrono::seconds(2);
  static constexpr Duration kCommitOnItsWay = std::chrono::seconds(3);
  static constexpr unsigned kOps = 16;
  static constexpr std::size_t kMaxNodes = 7;

  explicit FreshnessModel(Naive aNaive)
    : mNaive(aNaive)
    , mNow(std::chrono::hours(1))
  {
    for (unsigned i = 0; i < 3; ++i) {
      AddNode();
    }
    Relist();
    for (unsigned i = 0; i < 20; ++i) {
      Advance(200ms);
      TalkAll();
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
        TalkAll();
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
        mPlatform.mUp = !mPlatform.mUp;
        break;
      case 10:
        node.mCutOff = !node.mCutOff;
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
        node.mPaused = !node.mPaused;
        break;
      default:
        if (aStep.mDetail % 4 == 0) {
          Relist();
        } else if (aStep.mDetail % 4 == 1) {
          mChangesAreLost = !mChangesAreLost;
        } else {
          Deliver(aStep.mOther);
        }
        break;
    }
  }

  /// Whether some VM acts without a change that has been binding for longer
  /// than the limit.
  bool SomeoneActsOnStaleView() const
  {
    for (const ModelNode& node : mNodes) {
      if (!node.mAlive || node.mPaused || node.mView->MayAct(mNow)) {
        continue;
      }
      for (const ModelChange& change : mChanges) {
        if (change.mBindingFrom + kLimit <= mNow &&
            !node.mView->Stamp().Covers(change.mStamp)) {
          return true;
        }
      }
    }
    return false;
  }

  void Advance(Duration aSpan) { mNow += aSpan; }

  /// Every VM polls the platform and exchanges with every VM that it knows.
  void TalkAll()
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
  struct InFlight
  {
    std::optional<std::size_t> mTo; ///< Empty: the platform.
    unsigned mIncarnation;
    std::function<void()> mArrive;
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
    aNode.mCommitting.reset();
    aNode.mList =
      std::make_unique<MemberList>(MemberListSettings{}, aNode.mSelf, mNow);
    FreshViewSettings settings;
    settings.mStalenessLimit = kLimit;
    aNode.mView = std::make_unique<FreshView>(settings);
    aNode.mAgreement = std::make_unique<OutageAgreement>(
      OutageAgreementSettings{ kLimit, kCommitOnItsWay });
  }

  void Restart(std::size_t aNode)
  {
    ModelNode& node = mNodes[aNode];
    ++node.mIncarnation;
    node.mPaused = false;
    Start(node);
  }

  /// The lagging list catches up: with those that reach the platform.
  void Relist()
  {
    mPlatform.mListed.clear();
    for (const ModelNode& node : mNodes) {
      mPlatform.mListed.push_back(node.mSelf);
    }
  }

  bool ReachesPlatform(const ModelNode& aNode) const
  {
    return mPlatform.mUp && !aNode.mCutOff && !aNode.mPaused;
  }

  void Send(std::size_t aTo, bool aLater, std::function<void()> aArrive)
  {
    if (aLater || mNodes[aTo].mPaused) {
      mFlying.push_back({ aTo, mNodes[aTo].mIncarnation, std::move(aArrive) });
    } else {
      aArrive();
    }
  }

  void Deliver(unsigned aWhich)
  {
    if (mFlying.empty()) {
      return;
    }
    const std::size_t i = aWhich % mFlying.size();
    const std::optional<std::size_t> to = mFlying[i].mTo;
    if (to && mNodes[*to].mPaused) {
      return;
    }
    const InFlight message = std::move(mFlying[i]);
    mFlying.erase(mFlying.begin() + static_cast<std::ptrdiff_t>(i));
    if (!to || mNodes[*to].mIncarnation == message.mIncarnation) {
      message.mArrive();
    }
  }

  // What a VM says of itself and takes from others.

  Member Word(ModelNode& aNode)
  {
    aNode.mSelf.mStamp = aNode.mView->Stamp();
    aNode.mSelf.mCommitInDoubt =
      mNaive != Naive::NoInDoubt && aNode.mCommitting.has_value();
    aNode.mSelf.mRunningFor = mNow - aNode.mStartedAt;
    aNode.mList->SetSelf(aNode.mSelf, mNow);
    return aNode.mSelf;
  }

  void Agree(ModelNode& aNode)
  {
    Word(aNode);
    std::vector<MemberReport> words = aNode.mList->Words(mNow);
    if (mNaive == Naive::ForgetRestarts) {
      for (MemberReport& word : words) {
        word.mStartedBy = TimePoint{};
      }
    }
    if (!aNode.mSelf.mPlatformUnreachable) {
      return;
    }
    if (mNaive == Naive::ListedMembersOnly) {
      KeepListed(aNode, words);
    }
    const ViewStamp compared = mNaive == Naive::AnyVersion
                                 ? ViewStamp{ ~0ull, ~0ull }
                                 : aNode.mView->Stamp();
    const AgreementResult result = aNode.mAgreement->Evaluate(
      compared, aNode.mView->ConfirmedAt(), words, mNow);
    if (result.mObstacle == AgreementObstacle::None) {
      aNode.mView->ConfirmByAgreement(aNode.mView->Stamp(), result.mAsOf);
    }
  }

  static void KeepListed(const ModelNode& aNode,
                         std::vector<MemberReport>& aWords)
  {
    std::map<std::string, bool> listed;
    for (const ChangeGuardMember& it : aNode.mList->GateMembers(TimePoint{})) {
      listed[it.mVm] = it.mListed;
    }
    aWords.erase(std::remove_if(aWords.begin(),
                                aWords.end(),
                                [&](const MemberReport& aWord) {
                                  return !listed[aWord.mVm];
                                }),
                 aWords.end());
  }

  // Messages.

  void Poll(std::size_t aNode, bool aLater)
  {
    ModelNode& node = mNodes[aNode];
    if (node.mPaused) {
      return;
    }
    if (!ReachesPlatform(node)) {
      node.mSelf.mPlatformUnreachable = true;
      Agree(node);
      return;
    }
    Send(aNode,
         aLater,
         [this,
          aNode,
          sent = mNow,
          stamp = mPlatform.mStamp,
          listed = mPlatform.mListed] {
           OnPlatform(mNodes[aNode], stamp, listed, sent);
         });
  }

  void OnPlatform(ModelNode& aNode,
                  const ViewStamp& aStamp,
                  const std::vector<Member>& aListed,
                  TimePoint aSent)
  {
    aNode.mSelf.mPlatformUnreachable = false;
    aNode.mList->MergePlatform(aListed, aSent, mNow);
    aNode.mView->Hold(aStamp);
    aNode.mView->ConfirmByPlatform(aStamp, aSent);
    Settle(aNode, aStamp);
    Agree(aNode);
  }

  void Exchange(std::size_t aFrom, std::size_t aTo, bool aLater)
  {
    ModelNode& from = mNodes[aFrom];
    if (aFrom == aTo || from.mPaused || from.mGroup != mNodes[aTo].mGroup) {
      return;
    }
    const Member self = Word(from);
    const Duration age = from.mView->Age(mNow).value_or(std::chrono::hours(1));
    Send(aTo,
         aLater,
         [this,
          aFrom,
          aTo,
          self,
          age,
          aLater,
          sent = mNow,
          members = from.mList->Export(mNow),
          incarnation = from.mIncarnation] {
           ModelNode& to = mNodes[aTo];
           to.mList->MergeRequest(self, members, mNow);
           if (mNaive == Naive::TrustRequests) {
             Take(to, self, members, age, mNow);
           }
           HoldFrom(to, self);
           Agree(to);
           if (mNodes[aFrom].mIncarnation == incarnation &&
               to.mGroup == mNodes[aFrom].mGroup) {
             Reply(aTo, aFrom, aLater, sent);
           }
         });
  }

  void Reply(std::size_t aFrom, std::size_t aTo, bool aLater, TimePoint aSent)
  {
    ModelNode& from = mNodes[aFrom];
    const Member self = Word(from);
    const Duration age = from.mView->Age(mNow).value_or(std::chrono::hours(1));
    Send(aTo,
         aLater,
         [this, aTo, self, age, aSent, members = from.mList->Export(mNow)] {
           Take(mNodes[aTo], self, members, age, aSent);
         });
  }

  void Take(ModelNode& aNode,
            const Member& aSender,
            const std::vector<Member>& aMembers,
            Duration aAge,
            TimePoint aSent)
  {
    aNode.mList->MergeReply(aSender, aMembers, aSent, mNow);
    HoldFrom(aNode, aSender);
    const Duration age = mNaive == Naive::ResetAges ? Duration{ 0 } : aAge;
    const TimePoint sent = mNaive == Naive::ResetAges ? mNow : aSent;
    aNode.mView->ConfirmByPeer(aSender.mStamp, age, sent);
    Agree(aNode);
  }

  /// Takes the changes that came with a message, if they did.
  void HoldFrom(ModelNode& aNode, const Member& aSender)
  {
    if (!mChangesAreLost) {
      aNode.mView->Hold(Larger(aNode.mView->Stamp(), aSender.mStamp));
    }
  }

  static ViewStamp Larger(const ViewStamp& aLeft, const ViewStamp& aRight)
  {
    return { std::max(aLeft.mVersion, aRight.mVersion),
             std::max(aLeft.mPlanEpoch, aRight.mPlanEpoch) };
  }

  // Changes.

  /// aMode 0: the commit arrives later; 1: its answer does; 2: it is lost.
  void Commit(std::size_t aNode, bool aIsPlan, unsigned aMode)
  {
    ModelNode& node = mNodes[aNode];
    if (!ReachesPlatform(node) || node.mCommitting ||
        node.mView->MayAct(mNow)) {
      return;
    }
    const GateResult gate =
      ChangeGate({}).Check(node.mList->GateMembers(mNow), "");
    if (!gate.mOpen && mNaive != Naive::NoGate) {
      return;
    }
    ViewStamp next = node.mView->Stamp();
    ++(aIsPlan ? next.mPlanEpoch : next.mVersion);
    node.mCommitting = next;
    auto commit = [this,
                   sent = mNow,
                   aNode,
                   aIsPlan,
                   aMode,
                   next,
                   author = node.mSelf.mControlInstance,
                   incarnation = node.mIncarnation] {
      if (mNow < sent + kCommitOnItsWay) {
        CommitArrives(aNode, aIsPlan, aMode, next, author, incarnation);
      }
    };
    if (aMode == 0) {
      // A commit on its way arrives whatever becomes of its author.
      mFlying.push_back({ std::nullopt, 0, std::move(commit) });
    } else {
      commit();
    }
  }

  void CommitArrives(std::size_t aNode,
                     bool aIsPlan,
                     unsigned aMode,
                     const ViewStamp& aNext,
                     const std::string& aAuthor,
                     unsigned aIncarnation)
  {
    const std::uint64_t before =
      aIsPlan ? mPlatform.mStamp.mPlanEpoch : mPlatform.mStamp.mVersion;
    const std::uint64_t next = aIsPlan ? aNext.mPlanEpoch : aNext.mVersion;
    const bool takes = before + 1 == next;
    if (takes) {
      (aIsPlan ? mPlatform.mStamp.mPlanEpoch : mPlatform.mStamp.mVersion) =
        next;
      mAuthors[{ aIsPlan, next }] = aAuthor;
      if (aIsPlan) {
        // Whoever reads a plan acts on it.
        mChanges.push_back({ { 0, next }, mNow });
      }
    }
    if (aMode == 2 || mNodes[aNode].mIncarnation != aIncarnation) {
      return;
    }
    Send(aNode, aMode == 1, [this, aNode, aNext, takes] {
      ModelNode& node = mNodes[aNode];
      if (!node.mCommitting || !(*node.mCommitting == aNext)) {
        return;
      }
      takes ? Accept(node) : node.mCommitting.reset();
    });
  }

  void Accept(ModelNode& aNode)
  {
    const ViewStamp made = *aNode.mCommitting;
    aNode.mCommitting.reset();
    aNode.mView->Hold(Larger(aNode.mView->Stamp(), made));
    mChanges.push_back({ { made.mVersion, 0 }, mNow });
  }

  /// Settles a commit in doubt by what a read showed.
  void Settle(ModelNode& aNode, const ViewStamp& aRead)
  {
    if (!aNode.mCommitting || !aRead.Covers(*aNode.mCommitting)) {
      return;
    }
    const ViewStamp made = *aNode.mCommitting;
    const bool own =
      mAuthors[{ false, made.mVersion }] == aNode.mSelf.mControlInstance;
    own ? Accept(aNode) : aNode.mCommitting.reset();
  }

  Naive mNaive;
  bool mChangesAreLost = false; ///< Stamps arrive, changes don't.
  TimePoint mNow;
  ModelPlatform mPlatform;
  std::vector<ModelNode> mNodes;
  std::vector<InFlight> mFlying;
  std::vector<ModelChange> mChanges;
  std::map<std::pair<bool, std::uint64_t>, std::string> mAuthors;
};

} // namespace peridothoist::test
