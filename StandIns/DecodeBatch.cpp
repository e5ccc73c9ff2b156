/// Selects streams by priority, then by order of arrival.
#include <Peridothoist/Peridothoist.h>
#include <StandIns/DecodeBatch.h>
#include <StandIns/TokenText.h>

#include <algorithm>

namespace peridothoist::standin {

void
DecodeBatch::AddStream(DecodeStream aStream)
{
  const std::string request = aStream.mRequest;
  mStreams[request] = { std::move(aStream), mNextArrival, false };
  ++mNextArrival;
}

void
DecodeBatch::RemoveStream(const std::string& aRequest)
{
  mStreams.erase(aRequest);
}

void
DecodeBatch::SetPaused(const std::string& aRequest, bool aIsPaused)
{
  const auto it = mStreams.find(aRequest);
  if (it != mStreams.end()) {
    it->second.mIsPaused = aIsPaused;
  }
}

std::vector<GeneratedToken>
DecodeBatch::RunStep()
{
  std::vector<GeneratedToken> tokens;
  for (Entry* it : SelectStreams()) {
    DecodeStream& stream = it->mStream;
    GeneratedToken token;
    token.mRequest = stream.mRequest;
    token.mIndex = stream.mNextIndex;
    token.mText = TokenText(stream.mChecksum, stream.mNextIndex);
    ++stream.mNextIndex;
    token.mIsLast = stream.mNextIndex >= stream.mEndIndex;
    tokens.push_back(std::move(token));
  }
  for (const GeneratedToken& it : tokens) {
    if (it.mIsLast) {
      RemoveStream(it.mRequest);
    }
  }
  return tokens;
}

Duration
DecodeBatch::StepDuration() const
{
  const std::size_t streams = std::max<std::size_t>(1, StreamsPerStep());
  const double factor =
    1.0 + mSettings.mStepTimeSlope * static_cast<double>(streams - 1);
  return std::chrono::duration_cast<Duration>(mSettings.mBaseStepTime * factor);
}

std::size_t
DecodeBatch::StreamsPerStep() const
{
  return std::min<std::size_t>(mStreams.size(), mSettings.mMaxStreamsPerStep);
}

std::vector<DecodeBatch::Entry*>
DecodeBatch::SelectStreams()
{
  std::vector<Entry*> entries;
  for (auto& [request, entry] : mStreams) {
    if (!entry.mIsPaused) {
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
  if (entries.size() > mSettings.mMaxStreamsPerStep) {
    entries.resize(mSettings.mMaxStreamsPerStep);
  }
  return entries;
}

} // namespace peridothoist::standin
