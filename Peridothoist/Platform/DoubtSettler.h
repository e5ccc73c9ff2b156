/// Finds out what became of a commit whose answer was lost: reads the
/// operation's row and, while that is absent, writes it as given up. Whichever
/// of the two writes comes first decides, since the commit is on condition
/// that the row is absent; a commit that is still on its way then fails.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>
#include <Peridothoist/Platform/Backoff.h>
#include <Peridothoist/Platform/Platform.h>
#include <Peridothoist/Shell/Reactor.h>

namespace peridothoist {

/// Waits between tries.
struct DoubtSettlerSettings
{
  BackoffSettings mBackoff = { std::chrono::milliseconds(50),
                               std::chrono::seconds(1) };
};

/// Settles commits, one try after the other until the platform answers.
class DoubtSettler
{
public:
  using Settings = DoubtSettlerSettings;

  /// The version that the commit made; 0: it never takes effect.
  using Done = std::function<void(std::uint64_t aVersion)>;

  DoubtSettler(Reactor& aReactor,
               Platform& aPlatform,
               const Settings& aSettings,
               std::uint64_t aSeed);
  ~DoubtSettler();
  DoubtSettler(const DoubtSettler&) = delete;
  DoubtSettler& operator=(const DoubtSettler&) = delete;

  /// Starts to settle aOperationId; does nothing when that is under way.
  void Settle(const std::string& aOperationId, Done aDone);

  /// Commits that aren't settled yet.
  std::size_t Open() const { return mOpen.size(); }

private:
  struct Entry
  {
    Done mDone;
    Backoff mBackoff;
  };

  void Read(const std::string& aOperationId);
  void OnRead(const std::string& aOperationId, const ScanResult& aResult);
  void GiveUp(const std::string& aOperationId);
  void OnGivenUp(const std::string& aOperationId,
                 const TransactionResult& aResult);
  void TryAgain(const std::string& aOperationId);
  void Finish(const std::string& aOperationId, std::uint64_t aVersion);

  Reactor& mReactor;
  Platform& mPlatform;
  Settings mSettings;
  Random mRandom;
  std::map<std::string, Entry> mOpen;
  std::shared_ptr<bool> mAlive; ///< Answers that come after us are dropped.
};

} // namespace peridothoist
