/// Determines whether a commit whose response was lost took effect: reads the
/// operation's row and, if it doesn't exist, writes it as abandoned. The first
/// of the two writes wins, since the commit requires that the row doesn't
/// exist; a commit that arrives after the abandoning write fails.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Platform/Backoff.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Settings of a CommitResolver.
struct CommitResolverSettings
{
  /// Delays between attempts.
  BackoffSettings mBackoff = { std::chrono::milliseconds(50),
                               std::chrono::seconds(1) };
};

/// Resolves commits in doubt; retries until the platform responds.
class CommitResolver
{
public:
  using Settings = CommitResolverSettings;

  /// Called with the version that the commit created, or with 0 if it will
  /// never take effect.
  using Callback = std::function<void(std::uint64_t aVersion)>;

  CommitResolver(Reactor& aReactor,
                 Platform& aPlatform,
                 const Settings& aSettings,
                 std::uint64_t aSeed);
  ~CommitResolver();
  CommitResolver(const CommitResolver&) = delete;
  CommitResolver& operator=(const CommitResolver&) = delete;

  /// Starts to resolve the commit aOperationId. If that is in progress already,
  /// does nothing and drops aCallback.
  void Resolve(const std::string& aOperationId, Callback aCallback);

  /// Returns the number of unresolved commits.
  std::size_t PendingCount() const { return mPending.size(); }

private:
  struct PendingCommit
  {
    Callback mCallback;
    Backoff mBackoff;
  };

  void ReadOperation(const std::string& aOperationId);
  void OnOperationRead(const std::string& aOperationId,
                       const ScanResult& aResult);
  void Abandon(const std::string& aOperationId);
  void OnAbandonWritten(const std::string& aOperationId,
                        const TransactionResult& aResult);
  void ScheduleRetry(const std::string& aOperationId);
  void Finish(const std::string& aOperationId, std::uint64_t aVersion);

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  Random mRandom;
  std::map<std::string, PendingCommit> mPending;
  std::shared_ptr<bool> mIsAlive; ///< False once this object is destroyed;
                                  ///< later responses are dropped.
};

} // namespace peridothoist
