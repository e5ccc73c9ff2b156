/// A small priority queue over a vector in order of arrival.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/PrefillQueue.h>

#include <algorithm>

namespace peridothoist::standin {

std::uint64_t
PrefillQueue::Add(PrefillJob aJob)
{
  if (mWaiting.size() >= mMaxWaiting) {
    return 0;
  }
  aJob.mId = mNextId;
  ++mNextId;
  mWaiting.push_back(std::move(aJob));
  return mWaiting.back().mId;
}

const PrefillJob*
PrefillQueue::StartNext()
{
  if (mRunning || mWaiting.empty()) {
    return nullptr;
  }
  const auto first =
    std::min_element(mWaiting.begin(),
                     mWaiting.end(),
                     [](const PrefillJob& aLeft, const PrefillJob& aRight) {
                       return aLeft.mPriority < aRight.mPriority;
                     });
  mRunning = std::move(*first);
  mRunningCancelled = false;
  mWaiting.erase(first);
  return &*mRunning;
}

std::optional<PrefillJob>
PrefillQueue::Finish()
{
  std::optional<PrefillJob> finished;
  if (!mRunningCancelled) {
    finished = std::move(mRunning);
  }
  mRunning.reset();
  return finished;
}

void
PrefillQueue::Cancel(const std::string& aRequest)
{
  const auto same = [&](const PrefillJob& aJob) {
    return aJob.mRequest == aRequest;
  };
  mWaiting.erase(std::remove_if(mWaiting.begin(), mWaiting.end(), same),
                 mWaiting.end());
  if (mRunning && same(*mRunning)) {
    mRunningCancelled = true;
  }
}

std::vector<std::string>
PrefillQueue::CancelInstance(const std::string& aInstance)
{
  const std::string prefix = aInstance + "/";
  std::vector<std::string> requests;
  const auto note = [&](const PrefillJob& aJob) {
    if (aJob.mRequest.compare(0, prefix.size(), prefix) == 0) {
      requests.push_back(aJob.mRequest);
    }
  };
  for (const PrefillJob& it : mWaiting) {
    note(it);
  }
  if (mRunning) {
    note(*mRunning);
  }
  for (const std::string& it : requests) {
    Cancel(it);
  }
  return requests;
}

} // namespace peridothoist::standin
