/// Continuous batching of an engine stand-in: each step generates one token for
/// each of the highest-priority streams that fit into the batch.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// Speed and size of a batch.
struct DecodeBatchSettings
{
  Duration mBaseStepTime = 20ms; ///< Duration with a single stream.

  /// Increase of the step time per additional stream, as a fraction of
  /// mBaseStepTime.
  double mStepTimeSlope = 0.01;

  std::uint32_t mMaxStreamsPerStep = 20; ///< Further streams wait.
};

/// A token stream to generate.
struct DecodeStream
{
  std::string mRequest;
  std::uint32_t mChecksum = 0;  ///< Checksum of the prompt, see Checksum().
  int mPriority = 0;            ///< A lower value runs first.
  std::uint32_t mNextIndex = 0; ///< Index of the next token.
  std::uint32_t mEndIndex = 0;  ///< One past the index of the last token.
};

/// One token that a step generated.
struct GeneratedToken
{
  std::string mRequest;
  std::uint32_t mIndex = 0;
  std::string mText;
  bool mIsLast = false; ///< The stream ended with this token and was removed.
};

/// Schedules the token streams of one engine.
class DecodeBatch
{
public:
  using Settings = DecodeBatchSettings;

  explicit DecodeBatch(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a stream, replacing one with the same request id.
  void AddStream(DecodeStream aStream);

  /// Removes a stream. Does nothing if there is none.
  void RemoveStream(const std::string& aRequest);

  /// Excludes a stream from further steps or includes it again.
  void SetPaused(const std::string& aRequest, bool aIsPaused);

  /// Runs one step and returns the tokens that it generated.
  std::vector<GeneratedToken> RunStep();

  /// Returns the duration of a step with the current number of streams.
  Duration StepDuration() const;

  std::size_t StreamCount() const { return mStreams.size(); }

  /// Returns the number of streams, paused ones included, limited to
  /// mMaxStreamsPerStep.
  std::size_t StreamsPerStep() const;

private:
  /// A stream and its arrival number, which orders streams of equal priority.
  struct Entry
  {
    DecodeStream mStream;
    std::uint64_t mArrival = 0;
    bool mIsPaused = false;
  };

  std::vector<Entry*> SelectStreams();

  Settings mSettings;
  std::uint64_t mNextArrival = 0;
  std::map<std::string, Entry> mStreams;
};

} // namespace peridothoist::standin
