/// Processes configuration changes that operators submit: validates them,
/// checks that no VM can miss them (ChangeGuard), commits them and reports the
/// result.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/ControlGossip.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigPoller.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// A change as submitted by an operator.
struct ChangeRequest
{
  std::uint64_t mBaseVersion = 0; ///< Version that the edits are based on.
  std::vector<ItemEdit> mEdits;
  bool mDryRun = false;
  /// Written reason of an override. If not empty, the change is accepted
  /// although VMs or zones do not respond.
  std::string mOverrideReason;
  std::string mOperator;
  /// Whether the edits apply to any version, such as the deletion of a key.
  /// They are rebased and retried after a conflict.
  bool mAppliesToAnyVersion = false;
};

/// Result of a change. Possible codes of the reason: None, Invalid (the text
/// starts with the path of the field), Conflict, Unreachable (not accepted),
/// InDoubt, Stale. Other codes come from the validation of the edits.
struct ChangeResult
{
  Reason mReason;
  /// Version that the change created, or the version that this process holds if
  /// the change was refused.
  std::uint64_t mVersion = 0;
  /// On a conflict: edits that were committed since the base version.
  std::vector<ItemEdit> mConflictingEdits;
  std::vector<std::string> mSilentZones;
  std::vector<std::string> mSilentVms;
};

/// Processes any number of changes concurrently; commits are serialised.
class ChangeManager
{
public:
  using Done = std::function<void(const ChangeResult&)>;

  ChangeManager(Reactor& aReactor,
                ControlState& aState,
                ControlGossip& aGossip,
                ChangeCommitter& aCommitter,
                ConfigPoller& aConfigPoller);
  ~ChangeManager();
  ChangeManager(const ChangeManager&) = delete;
  ChangeManager& operator=(const ChangeManager&) = delete;

  /// Processes one change. aDone is called exactly once.
  void Submit(const ChangeRequest& aRequest, Done aDone);

private:
  struct PendingChange;
  using PendingChangePtr = std::shared_ptr<PendingChange>;

  /// Waits until the held version is confirmed as of a time after the
  /// submission, then starts the change.
  void WaitForLatestVersion(const PendingChangePtr& aChange);
  void Start(const PendingChangePtr& aChange);
  /// Returns false and reports the result if this process cannot commit now.
  bool CheckCanCommit(const PendingChange& aChange) const;
  /// Waits until the change guard allows the commit or its timeout expires.
  void WaitForGuard(const PendingChangePtr& aChange);
  void Commit(const PendingChangePtr& aChange);
  void OnCommitted(const PendingChangePtr& aChange,
                   const CommitResult& aResult);
  /// Waits until this process holds aVersion, then restarts the change or
  /// reports the conflict.
  void WaitForVersion(const PendingChangePtr& aChange, std::uint64_t aVersion);
  void FinishWithConflict(const PendingChangePtr& aChange) const;
  /// Schedules a task that is skipped if this object no longer exists.
  void ScheduleIfAlive(Duration aDelay, std::function<void()> aTask);

  Reactor& mReactor;
  ControlState& mState;
  ControlGossip& mGossip;
  ChangeCommitter& mCommitter;
  ConfigPoller& mConfigPoller;
  std::uint64_t mNextOperationNumber = 1;
  std::shared_ptr<bool> mAlive; ///< Set to false by the destructor.
};

} // namespace peridothoist
