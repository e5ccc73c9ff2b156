/// Prefill queue of an engine stand-in: one job runs at a time, the one with
/// the highest priority first.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// A prefill job.
struct PrefillJob
{
  std::string mRequest;
  std::string mPrompt;
  std::string mResumeText;
  int mPriority = 0;     ///< A lower value runs first.
  std::uint64_t mId = 0; ///< Set by the queue.
};

/// The queued prefill jobs and the running one.
class PrefillQueue
{
public:
  explicit PrefillQueue(std::size_t aMaxQueuedJobs)
    : mMaxQueuedJobs(aMaxQueuedJobs)
  {
  }

  /// Adds a job and returns its id, or 0 if the queue is full.
  std::uint64_t Add(PrefillJob aJob);

  /// Starts and returns the queued job with the highest priority. Returns null
  /// if a job is running or none is queued.
  const PrefillJob* StartNext();

  /// Ends the running job and returns it, or nullopt if it was cancelled.
  std::optional<PrefillJob> FinishRunning();

  /// Removes a request's jobs. A running job occupies the engine until
  /// FinishRunning(), but then returns no result.
  void CancelRequest(const std::string& aRequest);

  /// Cancels the jobs of one entry instance and returns their request ids.
  std::vector<std::string> CancelInstance(const std::string& aInstance);

  std::size_t QueuedCount() const { return mQueuedJobs.size(); }
  bool IsRunning() const { return mRunning.has_value(); }

private:
  std::size_t mMaxQueuedJobs;
  std::uint64_t mNextId = 1;
  std::vector<PrefillJob> mQueuedJobs; ///< In order of arrival.
  std::optional<PrefillJob> mRunning;
  bool mIsRunningCancelled = false;
};

} // namespace peridothoist::standin
