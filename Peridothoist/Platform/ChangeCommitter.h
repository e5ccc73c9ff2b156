/// Commits changes of the configuration by compare-and-set on its version.
/// A commit whose response was lost is resolved by its operation's row; until
/// then the keys that it withdraws must be suspended.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Config/ConfigCodec.h>
#include <Peridothoist/Core/Reason.h>
#include <Peridothoist/Keys/KeyAuthenticator.h>
#include <Peridothoist/Platform/CommitResolver.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

#include <deque>

namespace peridothoist {

/// Result of a commit. The code in mReason is None (accepted), Conflict,
/// Refused, Unreachable (it will never take effect) or InDoubt.
struct CommitResult
{
  Reason mReason;
  std::uint64_t mVersion = 0; ///< Created version; on conflict the current one.
};

/// Receives the events of a ChangeCommitter that affect the process's view.
class ChangeCommitterListener
{
public:
  virtual ~ChangeCommitterListener() = default;

  /// Called with true before a commit is sent and with false when its result is
  /// known. In between, this process must report itself as having a commit in
  /// doubt.
  virtual void OnCommitPending(bool aIsPending) = 0;

  /// Called when the change took effect, before the commit's callback.
  virtual void OnChangeAccepted(const ChangeRecord& aRecord) = 0;

  /// Called when the response was lost: these keys must be refused until the
  /// commit is resolved.
  virtual void OnCommitInDoubt(const KeySuspension& aSuspension) = 0;

  /// Called when it is known whether a commit in doubt took effect.
  virtual void OnCommitResolved(const std::string& aOperationId) = 0;
};

/// Settings of a ChangeCommitter.
struct ChangeCommitterSettings
{
  /// Time after which an unresolved commit is reported as InDoubt.
  Duration mResultTimeout = std::chrono::seconds(5);
  /// Maximum reads of the head row per commit. The row can change without a new
  /// version, which makes the commit read it again.
  std::size_t mMaxHeadReads = 4;
  CommitResolverSettings mResolver;
};

/// Commits one change at a time.
class ChangeCommitter
{
public:
  using Settings = ChangeCommitterSettings;
  using Callback = std::function<void(const CommitResult&)>;

  ChangeCommitter(Reactor& aReactor,
                  Platform& aPlatform,
                  const Settings& aSettings,
                  ChangeCommitterListener& aListener,
                  std::uint64_t aSeed);
  ~ChangeCommitter();
  ChangeCommitter(const ChangeCommitter&) = delete;
  ChangeCommitter& operator=(const ChangeCommitter&) = delete;

  /// Commits a change. Fails as Conflict unless the change's version is one
  /// above the stored version. Commits are queued and run one at a time; while
  /// a commit is in doubt, new ones fail as Unreachable.
  void Commit(ChangeRecord aRecord, Callback aCallback);

  /// Resolves another process's commit that has been in doubt for too long.
  void ResolveOtherCommit(const std::string& aOperationId);

  /// Returns whether a commit of this process is in doubt.
  bool IsInDoubt() const { return mIsInDoubt; }

private:
  struct PendingCommit
  {
    ChangeRecord mRecord;
    Callback mCallback; ///< Empty after it was called.
    std::size_t mHeadReads = 0;
  };

  void StartNext();
  void ReadHead();
  void OnHeadRead(const ScanResult& aResult);
  void SendCommit(const ConfigHead& aHead, std::uint64_t aRowVersion);
  void OnCommitResult(const TransactionResult& aResult);
  void OnInDoubt();
  void OnResolved(std::uint64_t aVersion);
  void CompleteAccepted();
  void InvokeCallback(ReasonCode aCode,
                      std::string aText,
                      std::uint64_t aVersion);
  void Finish(ReasonCode aCode, std::string aText, std::uint64_t aVersion);

  /// Wraps aMethod as a callback that does nothing once this object is
  /// destroyed.
  template<typename Result>
  std::function<void(const Result&)> Guard(
    void (ChangeCommitter::*aMethod)(const Result&));

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  ChangeCommitterListener& mListener;
  CommitResolver mResolver;
  std::deque<PendingCommit> mQueue; ///< The first one is running.
  bool mIsInDoubt = false;          ///< The first one's response was lost.
  std::shared_ptr<bool> mIsAlive;
};

} // namespace peridothoist
