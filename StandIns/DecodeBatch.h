/// Continuous batching of an engine stand-in: each step gives one token to
/// each of the most urgent streams that fit the batch.
#pragma once

#include <Peridothoist/Peridothoist.h>

namespace peridothoist::standin {

/// How fast a batch runs.
struct DecodeBatchSettings
{
  Duration mTokenTime = 20ms;   ///< A step with a single stream.
  double mBatchSlope = 0.01;    ///< Added share of a step for each further one.
  std::uint32_t mMaxBatch = 20; ///< Streams in one step.
};

/// A stream to generate.
struct DecodeStream
{
  std::string mRequest;
  std::uint32_t mChecksum = 0; ///< Of the prompt; see Checksum().
  int mPriority = 0;           ///< Lower goes first.
  std::uint32_t mNext = 0;     ///< Index of its next token.
  std::uint32_t mEnd = 0;      ///< One past its last token.
};

/// One generated token, or the end of a stream.
struct DecodeStep
{
  std::string mRequest;
  std::uint32_t mIndex = 0;
  std::string mText;
  bool mLast = false; ///< The stream ended with this token and is gone.
};

/// The streams of one engine.
class DecodeBatch
{
public:
  using Settings = DecodeBatchSettings;

  explicit DecodeBatch(const Settings& aSettings)
    : mSettings(aSettings)
  {
  }

  /// Adds a stream, in place of one under the same request id.
  void Start(DecodeStream aStream);

  /// Removes a stream; harmless when there is none.
  void Stop(const std::string& aRequest);

  /// Leaves a stream out of further steps, or takes it in again.
  void SetPaused(const std::string& aRequest, bool aPaused);

  /// Runs one step.
  std::vector<DecodeStep> Step();

  /// How long a step takes now.
  Duration StepTime() const;

  std::size_t Size() const { return mStreams.size(); }
  std::size_t Running() const;

private:
  /// A stream and its place in the queue.
  struct Entry
  {
    DecodeStream mStream;
    std::uint64_t mArrival = 0;
    bool mPaused = false;
  };

  std::vector<Entry*> Chosen();

  Settings mSettings;
  std::uint64_t mArrivals = 0;
  std::map<std::string, Entry> mStreams;
};

} // namespace peridothoist::standin
