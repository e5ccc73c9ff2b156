/// Takes operators' changes: checks them, makes sure that no VM can miss them
/// (ChangeGate), commits them and says what became of them.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Control/ControlState.h>
#include <Peridothoist/Control/PeerExchanger.h>
#include <Peridothoist/Platform/ChangeCommitter.h>
#include <Peridothoist/Platform/ConfigFollower.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// A change as an operator asks for it.
struct ChangeRequest
{
  std::uint64_t mBaseVersion = 0; ///< That the operator saw.
  std::vector<ItemEdit> mEdits;
  bool mDryRun = false;
  std::string mOverrideReason; ///< Accepts although zones are silent.
  std::string mOperator;
  /// Holds for whatever version stands, as a key's withdrawal does: tried
  /// again when another change came first.
  bool mAnyBase = false;
};

/// What became of it. The reason's code: None, Invalid (the text starts with
/// the field's path), Conflict, Unreachable (not accepted), InDoubt, Stale.
struct ChangeAnswer
{
  Reason mReason;
  std::uint64_t mVersion = 0;     ///< Made, or held here when it was refused.
  std::vector<ItemEdit> mWinners; ///< Conflict: edits since the base version.
  std::vector<std::string> mSilentZones;
  std::vector<std::string> mSilentVms;
};

/// Handles any number of changes at a time; commits follow one another.
class ChangeDesk
{
public:
  using Done = std::function<void(const ChangeAnswer&)>;

  ChangeDesk(Reactor& aReactor,
             ControlState& aState,
             PeerExchanger& aExchanger,
             ChangeCommitter& aCommitter,
             ConfigFollower& aFollower);
  ~ChangeDesk();
  ChangeDesk(const ChangeDesk&) = delete;
  ChangeDesk& operator=(const ChangeDesk&) = delete;

  /// Handles one change; aDone is called once.
  void Submit(const ChangeRequest& aRequest, Done aDone);

private:
  struct Work;
  using WorkPtr = std::shared_ptr<Work>;

  void WaitForNewest(const WorkPtr& aWork);
  void Start(const WorkPtr& aWork);
  bool CheckRequest(const Work& aWork) const;
  void WaitForGate(const WorkPtr& aWork);
  void Commit(const WorkPtr& aWork);
  void OnCommitted(const WorkPtr& aWork, const CommitResult& aResult);
  void WaitForWinner(const WorkPtr& aWork, std::uint64_t aVersion);
  void AnswerConflict(const WorkPtr& aWork) const;
  void Later(Duration aDelay, std::function<void()> aTask);

  Reactor& mReactor;
  ControlState& mState;
  PeerExchanger& mExchanger;
  ChangeCommitter& mCommitter;
  ConfigFollower& mFollower;
  std::uint64_t mNextOperation = 1;
  std::shared_ptr<bool> mAlive;
};

} // namespace peridothoist
