/// The decode side of an engine stand-in behind HTTP: reservations, imports
/// over a shared link, and streams out of one batch.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>
#include <StandIns/EngineMemory.h>
#include <StandIns/TransferLink.h>

namespace peridothoist::standin {

/// Holds memory for requests and streams their tokens.
class DecodePart
{
public:
  explicit DecodePart(EngineContext& aContext);

  // The engine's calls.
  void ServeReserve(const ExchangePtr& aExchange);
  void ServeImport(const ExchangePtr& aExchange);
  void ServeDecode(const ExchangePtr& aExchange);
  void ServeRequests(const ExchangePtr& aExchange);

  /// Frees all that a request holds and cuts its stream. Returns the pieces.
  std::uint32_t Cancel(const std::string& aRequest);
  std::uint32_t CancelInstance(const std::string& aInstance);

  const EngineMemory& Memory() const { return mMemory; }
  std::size_t Running() const { return mBatch.Size(); }
  std::uint64_t Tokens() const { return mTokens; }

private:
  /// A stream on its way to a caller.
  class Stream : public HttpExchangeListener
  {
  public:
    Stream(DecodePart& aPart, std::string aRequest, ExchangePtr aExchange);
    ~Stream() override;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    // See: HttpExchangeListener
    void OnCallerGone() override;
    void OnDrained() override;

    HttpExchange& Exchange() { return *mExchange; }

    std::uint32_t mEnd = 0;         ///< One past the last token's index.
    const char* mFinishReason = ""; ///< Goes into the done event.
    std::uint64_t mDropAfter = 0;   ///< Tokens left before a cut; 0: none.

  private:
    DecodePart& mPart;
    std::string mRequest;
    ExchangePtr mExchange;
  };

  /// An import whose KV cache is on its way.
  struct Import
  {
    std::string mRequest;
    std::string mSource;
    std::string mKv;
    ExchangePtr mExchange;
  };

  // Imports.
  void OnKvFetched(const Import& aImport,
                   const HttpCallOutcome& aOutcome,
                   const std::string& aBody);
  void OnTransferred(const Import& aImport, KvCache aKv);
  void FailImport(const Import& aImport, int aStatus, const char* aError);

  // Streams.
  void StartStream(const std::string& aRequest,
                   Held& aHeld,
                   const Json& aBody,
                   const ExchangePtr& aExchange);
  void Detach(const std::string& aRequest);
  void ArmStep();
  void OnStep();
  void Send(const DecodeStep& aStep);
  void Finish(const DecodeStep& aStep, Stream& aStream);

  EngineContext& mContext;
  EngineMemory mMemory;
  DecodeBatch mBatch;
  TransferLink mLink;
  std::map<std::string, std::unique_ptr<Stream>> mStreams; ///< By request id.
  ExchangePtr mCrashed; ///< The call that crashed the engine: never answered.
  bool mStepArmed = false;
  std::uint64_t mTokens = 0; ///< Generated since the start.
};

} // namespace peridothoist::standin
