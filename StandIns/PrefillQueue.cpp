/// Priority queue in a vector in order of arrival.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefillQueue.h>

#include <algorithm>

namespace peridothoist::standin {

std::uint64_t
PrefillQueue::Add(PrefillJob aJob)
{
  if (mQueuedJobs.size() >= mMaxQueuedJobs) {
    return 0;
  }
  aJob.mId = mNextId;
  ++mNextId;
  mQueuedJobs.push_back(std::move(aJob));
  return mQueuedJobs.back().mId;
}

const PrefillJob*
PrefillQueue::StartNext()
{
  if (mRunning || mQueuedJobs.empty()) {
    return nullptr;
  }
  const auto first =
    std::min_element(mQueuedJobs.begin(),
                     mQueuedJobs.end(),
                     [](const PrefillJob& aLeft, const PrefillJob& aRight) {
                       return aLeft.mPriority < aRight.mPriority;
                     });
  mRunning = std::move(*first);
  mIsRunningCancelled = false;
  mQueuedJobs.erase(first);
  return &*mRunning;
}

std::optional<PrefillJob>
PrefillQueue::FinishRunning()
{
  std::optional<PrefillJob> finished;
  if (!mIsRunningCancelled) {
    finished = std::move(mRunning);
  }
  mRunning.reset();
  return finished;
}

void
PrefillQueue::CancelRequest(const std::string& aRequest)
{
  const auto belongsToRequest = [&](const PrefillJob& aJob) {
    return aJob.mRequest == aRequest;
  };
  mQueuedJobs.erase(
    std::remove_if(mQueuedJobs.begin(), mQueuedJobs.end(), belongsToRequest),
    mQueuedJobs.end());
  if (mRunning && belongsToRequest(*mRunning)) {
    mIsRunningCancelled = true;
  }
}

std::vector<std::string>
PrefillQueue::CancelInstance(const std::string& aInstance)
{
  const std::string prefix = aInstance + "/";
  std::vector<std::string> requests;
  const auto collectRequest = [&](const PrefillJob& aJob) {
    if (aJob.mRequest.compare(0, prefix.size(), prefix) == 0) {
      requests.push_back(aJob.mRequest);
    }
  };
  for (const PrefillJob& it : mQueuedJobs) {
    collectRequest(it);
  }
  if (mRunning) {
    collectRequest(*mRunning);
  }
  for (const std::string& it : requests) {
    CancelRequest(it);
  }
  return requests;
}

} // namespace peridothoist::standin
