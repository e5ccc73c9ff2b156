/// Chooses streams by priority, then by arrival.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

void
DecodeBatch::Start(DecodeStream aStream)
{
  const std::string request = aStream.mRequest;
  mStreams[request] = { std::move(aStream), mArrivals, false };
  ++mArrivals;
}

void
DecodeBatch::Stop(const std::string& aRequest)
{
  mStreams.erase(aRequest);
}

void
DecodeBatch::SetPaused(const std::string& aRequest, bool aPaused)
{
  const auto it = mStreams.find(aRequest);
  if (it != mStreams.end()) {
    it->second.mPaused = aPaused;
  }
}

std::vector<DecodeStep>
DecodeBatch::Step()
{
  std::vector<DecodeStep> steps;
  for (Entry* it : Chosen()) {
    DecodeStream& stream = it->mStream;
    DecodeStep step;
    step.mRequest = stream.mRequest;
    step.mIndex = stream.mNext;
    step.mText = TokenText(stream.mChecksum, stream.mNext);
    ++stream.mNext;
    step.mLast = stream.mNext >= stream.mEnd;
    steps.push_back(std::move(step));
  }
  for (const DecodeStep& it : steps) {
    if (it.mLast) {
      Stop(it.mRequest);
    }
  }
  return steps;
}

Duration
DecodeBatch::StepTime() const
{
  const std::size_t running = std::max<std::size_t>(1, Running());
  const double factor =
    1.0 + mSettings.mBatchSlope * static_cast<double>(running - 1);
  return std::chrono::duration_cast<Duration>(mSettings.mTokenTime * factor);
}

std::size_t
DecodeBatch::Running() const
{
  return std::min<std::size_t>(mStreams.size(), mSettings.mMaxBatch);
}

std::vector<DecodeBatch::Entry*>
DecodeBatch::Chosen()
{
  std::vector<Entry*> entries;
  for (auto& [request, entry] : mStreams) {
    if (!entry.mPaused) {
      entries.push_back(&entry);
    }
  }
  std::sort(entries.begin(),
            entries.end(),
            [](const Entry* aLeft, const Entry* aRight) {
              if (aLeft->mStream.mPriority != aRight->mStream.mPriority) {
                return aLeft->mStream.mPriority < aRight->mStream.mPriority;
              }
              return aLeft->mArrival < aRight->mArrival;
            });
  if (entries.size() > mSettings.mMaxBatch) {
    entries.resize(mSettings.mMaxBatch);
  }
  return entries;
}

} // namespace peridothoist::standin
