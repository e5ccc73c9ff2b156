/// One caller's request while it is being served: its HTTP exchange, the
/// content that upstream calls need, and the writing of the response.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionWriter.h>
#include <Peridothoist/Entry/UpstreamClient.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Trace.h>

namespace peridothoist {

/// Notified when a caller no longer receives its response.
class CallerRequestListener
{
public:
  virtual ~CallerRequestListener() = default;

  /// Called when the caller disconnected or reads too slowly.
  virtual void OnCallerDisconnected(std::uint64_t aId) = 0;
};

/// Properties of a request apart from its content.
struct CallerRequestMetadata
{
  std::uint64_t mId = 0;
  std::string mWorkspace;          ///< Empty on open routes.
  std::string mRoute;              ///< Route name, for logs and metrics.
  double mSpentTokens = 0;         ///< Taken from the allowance on arrival.
  std::uint32_t mPromptTokens = 0; ///< Estimated number of prompt tokens.
  TimePoint mArrivedAt;
};

/// Serves one caller. A caller that reads slowly must not keep engine memory
/// occupied, so unsent text is buffered here, up to kMaxUnsentBytes. Beyond
/// that the stream is aborted.
class CallerRequest : private HttpExchangeListener
{
public:
  static constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

  /// aListener is not owned. aWriter is null for requests to plain services.
  CallerRequest(CallerRequestMetadata aMetadata,
                CallerRequestContent aContent,
                std::shared_ptr<HttpExchange> aExchange,
                std::unique_ptr<CompletionWriter> aWriter,
                CallerRequestListener* aListener);
  ~CallerRequest() override;

  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  /// Returns whether commands of this kind write the response to the caller.
  static bool IsResponseCommand(RequestCommandKind aKind);

  /// Executes a response command of the core.
  void Perform(const RequestCommand& aCommand);

  /// Returns the response body for a command that carries a whole completion.
  std::string CompletionResponseBody(const RequestCommand& aCommand) const;

  const CallerRequestMetadata& Metadata() const { return mMetadata; }
  const CallerRequestContent& Content() const { return mContent; }

  /// Sets the tracing span of the request. The span ends with this object.
  void SetSpan(Span aSpan) { mSpan = std::move(aSpan); }
  Span& GetSpan() { return mSpan; }

  /// Returns the HTTP status of the response, or 0 before it has started.
  int Status() const { return mStatus; }

private:
  using Handler = void (CallerRequest::*)(const RequestCommand& aCommand);
  static Handler FindHandler(RequestCommandKind aKind);

  // Handlers of the response commands
  void SendHead(const RequestCommand& aCommand);
  void SendToken(const RequestCommand& aCommand);
  void SendWhole(const RequestCommand& aCommand);
  void SendRefusal(const RequestCommand& aCommand);
  void EndStream(const RequestCommand& aCommand);
  void AbortStream(const RequestCommand& aCommand);

  // See: HttpExchangeListener
  void OnCallerDisconnected() override;
  void OnBufferDrained() override;

  void FlushUnsent();
  CompletionUsage UsageOf(const RequestCommand& aCommand) const;

  CallerRequestMetadata mMetadata;
  CallerRequestContent mContent;
  std::shared_ptr<HttpExchange> mExchange;
  std::unique_ptr<CompletionWriter> mWriter;
  CallerRequestListener* mListener;
  Span mSpan;

  std::string mUnsent;     ///< Token text that a slow caller has not read.
  bool mIsBlocked = false; ///< The exchange's buffer is above its high mark.
  int mStatus = 0;
};

} // namespace peridothoist
