/// Commits changes of the configuration by compare-and-set on its version.
/// A commit whose answer was lost is settled by its operation's row; until
/// then the keys that it withdraws are to be suspended.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Keys/KeyRing.h>
#include <Peridothoist/Platform/DoubtSettler.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// How a commit ended. The reason's code tells the kind: None (accepted),
/// Conflict, Refused, Unreachable (it never takes effect) or InDoubt.
struct CommitResult
{
  Reason mReason;
  std::uint64_t mVersion = 0; ///< That it made, or the one that is in the way.
};

/// Told what the process's view has to take in.
class ChangeCommitterListener
{
public:
  virtual ~ChangeCommitterListener() = default;

  /// A commit is about to be sent (true), or what became of it is known
  /// (false). In between, this process has to say that it is in doubt.
  virtual void OnCommitOpen(bool aOpen) = 0;

  /// The change took effect. Called before the commit's own answer.
  virtual void OnChangeAccepted(const ChangeRecord& aRecord) = 0;

  /// The answer was lost: these keys are to be refused for now.
  virtual void OnCommitInDoubt(const KeySuspension& aSuspension) = 0;

  /// The doubt is over, one way or the other.
  virtual void OnCommitSettled(const std::string& aOperationId) = 0;
};

/// Limits of a ChangeCommitter.
struct ChangeCommitterSettings
{
  Duration mAnswerLimit = std::chrono::seconds(5); ///< Then: "in doubt".
  std::size_t mMaxTries = 4; ///< Head rows that changed without a new version.
  DoubtSettlerSettings mSettler;
};

/// Commits one change at a time.
class ChangeCommitter
{
public:
  using Settings = ChangeCommitterSettings;
  using Done = std::function<void(const CommitResult&)>;

  ChangeCommitter(Reactor& aReactor,
                  Platform& aPlatform,
                  const Settings& aSettings,
                  ChangeCommitterListener& aListener,
                  std::uint64_t aSeed);
  ~ChangeCommitter();
  ChangeCommitter(const ChangeCommitter&) = delete;
  ChangeCommitter& operator=(const ChangeCommitter&) = delete;

  /// Commits the change that leads from aRecord's version - 1 to its version.
  /// Others wait for their turn; while a commit is in doubt they fail.
  void Commit(ChangeRecord aRecord, Done aDone);

  /// Settles another process's commit that has been in doubt for too long.
  void SettleOther(const std::string& aOperationId);

  /// Whether an own commit's answer is missing.
  bool IsInDoubt() const { return mInDoubt; }

private:
  struct Order
  {
    ChangeRecord mRecord;
    Done mDone; ///< Empty once called.
    std::size_t mTries = 0;
  };

  void StartNext();
  void ReadHead();
  void OnHead(const ScanResult& aResult);
  void Write(const ConfigHead& aHead, std::uint64_t aRowVersion);
  void OnWritten(const TransactionResult& aResult);
  void StartDoubt();
  void OnSettled(std::uint64_t aVersion);
  void Accept();
  void Answer(ReasonCode aCode, std::string aText, std::uint64_t aVersion);
  void Finish(ReasonCode aCode, std::string aText, std::uint64_t aVersion);

  /// Runs aMethod with an answer, unless this object is gone by then.
  template<typename Result>
  std::function<void(const Result&)> Guard(
    void (ChangeCommitter::*aMethod)(const Result&));

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  ChangeCommitterListener& mListener;
  DoubtSettler mSettler;
  std::deque<Order> mOrders; ///< The first is under way.
  bool mInDoubt = false;     ///< The first one's answer is missing.
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
