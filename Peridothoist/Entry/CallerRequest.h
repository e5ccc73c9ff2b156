/// One caller's request while it is served: its exchange, what upstream calls
/// need of it, and the writing of its answer.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/CompletionWriter.h>
#include <Peridothoist/Entry/UpstreamCaller.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Trace.h>

namespace peridothoist {

/// Told when a caller gave up.
class CallerRequestListener
{
public:
  virtual ~CallerRequestListener() = default;

  /// The caller is gone, or reads too slowly to be served.
  virtual void OnCallerGone(std::uint64_t aId) = 0;
};

/// What is known of a request beside its content.
struct CallerRequestFacts
{
  std::uint64_t mId = 0;
  std::string mWorkspace;          ///< Empty on open routes.
  std::string mRoute;              ///< Name, for logs and metrics.
  double mSpentTokens = 0;         ///< Taken from the allowance on arrival.
  std::uint32_t mPromptTokens = 0; ///< Estimated.
  TimePoint mArrivedAt;
};

/// Serves one caller. A caller that reads slowly never holds engine memory:
/// the text it hasn't taken is kept here, up to kMaxUnsentBytes.
class CallerRequest : private HttpExchangeListener
{
public:
  static constexpr std::size_t kMaxUnsentBytes = 256 * 1024;

  /// aListener is not owned. aWriter is null for plain services.
  CallerRequest(CallerRequestFacts aFacts,
                CallerContent aContent,
                std::shared_ptr<HttpExchange> aExchange,
                std::unique_ptr<CompletionWriter> aWriter,
                CallerRequestListener* aListener);
  ~CallerRequest() override;

  CallerRequest(const CallerRequest&) = delete;
  CallerRequest& operator=(const CallerRequest&) = delete;

  /// Whether a kind is a command to answer the caller.
  static bool IsAnswerCommand(RequestCommandKind aKind);

  /// Carries out an answer command of the core.
  void Perform(const RequestCommand& aCommand);

  /// The whole answer's body for a command that carries a completion.
  std::string CompletionAnswer(const RequestCommand& aCommand) const;

  const CallerRequestFacts& Facts() const { return mFacts; }
  const CallerContent& Content() const { return mContent; }

  /// Sets the request's span, which ends with it.
  void SetSpan(Span aSpan) { mSpan = std::move(aSpan); }
  Span& GetSpan() { return mSpan; }

  /// HTTP status of the answer; 0 while there is none.
  int Status() const { return mStatus; }

private:
  using Performer = void (CallerRequest::*)(const RequestCommand& aCommand);
  static Performer PerformerOf(RequestCommandKind aKind);

  // Performers
  void SendHead(const RequestCommand& aCommand);
  void SendToken(const RequestCommand& aCommand);
  void SendWhole(const RequestCommand& aCommand);
  void SendRefusal(const RequestCommand& aCommand);
  void EndStream(const RequestCommand& aCommand);
  void AbortStream(const RequestCommand& aCommand);

  // See: HttpExchangeListener
  void OnCallerGone() override;
  void OnDrained() override;

  void FlushUnsent();
  CompletionUsage UsageOf(const RequestCommand& aCommand) const;

  CallerRequestFacts mFacts;
  CallerContent mContent;
  std::shared_ptr<HttpExchange> mExchange;
  std::unique_ptr<CompletionWriter> mWriter;
  CallerRequestListener* mListener;
  Span mSpan;

  std::string mUnsent;   ///< Token text that waits for a slow caller.
  bool mBlocked = false; ///< The exchange's buffer is above its high mark.
  int mStatus = 0;
};

} // namespace peridothoist
