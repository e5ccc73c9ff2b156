/// Decode calls of an engine stand-in: reservations, imports over a shared
/// link, and token streams that share one batch.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <StandIns/EngineContext.h>
#include <StandIns/EngineMemory.h>
#include <StandIns/TransferLink.h>

namespace peridothoist::standin {

/// Reserves memory for requests and streams their tokens.
class DecodeService
{
public:
  explicit DecodeService(EngineContext& aContext);

  // HTTP calls.
  void ServeReserve(const ExchangePtr& aExchange);
  void ServeImport(const ExchangePtr& aExchange);
  void ServeDecode(const ExchangePtr& aExchange);
  void ServeRequests(const ExchangePtr& aExchange);

  /// Aborts the stream of a request and frees its memory. Returns the number of
  /// freed pieces.
  std::uint32_t CancelRequest(const std::string& aRequest);

  /// Cancels the requests of one entry instance. Returns the number of freed
  /// pieces.
  std::uint32_t CancelInstance(const std::string& aInstance);

  const EngineMemory& Memory() const { return mMemory; }
  std::size_t RunningCount() const { return mBatch.StreamCount(); }
  std::uint64_t TokenCount() const { return mTokenCount; }

private:
  /// A response stream to a caller.
  class Stream : public HttpExchangeListener
  {
  public:
    Stream(DecodeService& aService,
           std::string aRequest,
           ExchangePtr aExchange);
    ~Stream() override;
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    // See: HttpExchangeListener
    void OnCallerDisconnected() override;
    void OnBufferDrained() override;

    HttpExchange& Exchange() { return *mExchange; }

    std::uint32_t mEnd = 0;         ///< One past the index of the last token.
    const char* mFinishReason = ""; ///< Sent in the done event.
    std::uint64_t mTokensUntilDrop = 0; ///< Aborts at zero; 0 at first: never.

  private:
    DecodeService& mService;
    std::string mRequest;
    ExchangePtr mExchange;
  };

  /// An import whose KV cache is being fetched or transferred.
  struct PendingImport
  {
    std::string mRequest;
    std::string mSource;
    std::string mKv;
    ExchangePtr mExchange;
  };

  // Imports.
  void OnKvFetched(const PendingImport& aImport,
                   const HttpCallResult& aResult,
                   const std::string& aBody);
  void OnTransferred(const PendingImport& aImport, KvCache aKv);
  void FailImport(const PendingImport& aImport,
                  int aStatus,
                  const char* aError);

  // Streams.
  void StartStream(const std::string& aRequest,
                   MemoryReservation& aReservation,
                   const Json& aBody,
                   const ExchangePtr& aExchange);
  void DetachStream(const std::string& aRequest);
  void ScheduleStep();
  void OnStep();
  void SendToken(const GeneratedToken& aToken);
  void FinishStream(const GeneratedToken& aToken, Stream& aStream);

  EngineContext& mContext;
  EngineMemory mMemory;
  DecodeBatch mBatch;
  TransferLink mLink;
  std::map<std::string, std::unique_ptr<Stream>> mStreams; ///< By request id.
  ExchangePtr mCrashingExchange; ///< Crashed the engine; gets no response.
  bool mIsStepScheduled = false;
  std::uint64_t mTokenCount = 0; ///< Tokens generated since the start.
};

} // namespace peridothoist::standin
