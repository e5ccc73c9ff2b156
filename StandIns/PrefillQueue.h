/// Prefills of an engine stand-in: one runs at a time, the most urgent first.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// A prefill to run.
struct PrefillJob
{
  std::string mRequest;
  std::string mPrompt;
  std::string mResumeText;
  int mPriority = 0;     ///< Lower goes first.
  std::uint64_t mId = 0; ///< Set by the queue.
};

/// Waiting prefills and the running one.
class PrefillQueue
{
public:
  explicit PrefillQueue(std::size_t aMaxWaiting)
    : mMaxWaiting(aMaxWaiting)
  {
  }

  /// Adds a job and returns its id; 0 when the queue is full.
  std::uint64_t Add(PrefillJob aJob);

  /// Starts the most urgent waiting job if none runs; else null.
  const PrefillJob* StartNext();

  /// Ends the running job and returns it; nothing when it was cancelled.
  std::optional<PrefillJob> Finish();

  /// Drops a request's jobs. A running one goes on to occupy the engine until
  /// Finish(), but gives nothing.
  void Cancel(const std::string& aRequest);

  /// Drops the jobs of one entry instance, and returns their request ids.
  std::vector<std::string> CancelInstance(const std::string& aInstance);

  std::size_t Waiting() const { return mWaiting.size(); }
  bool Busy() const { return mRunning.has_value(); }

private:
  std::size_t mMaxWaiting;
  std::uint64_t mNextId = 1;
  std::vector<PrefillJob> mWaiting; ///< In order of arrival.
  std::optional<PrefillJob> mRunning;
  bool mRunningCancelled = false;
};

} // namespace peridothoist::standin
