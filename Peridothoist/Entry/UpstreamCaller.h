/// Carries out the core's commands to upstreams over HTTP, in the protocol of
/// docs/UPSTREAMS.md, and hands the answers back as typed events.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Answers.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Shell/HttpClient.h>

#include <set>
#include <tuple>

namespace peridothoist {

/// What a call needs of the caller's request, beside the command.
struct CallerContent
{
  std::string mPrompt; ///< Completions.

  // Plain services
  std::string mMethod;
  std::string mTarget; ///< Path and query as sent on.
  std::string mContentType;
  std::string mBody;
  std::string mIdempotencyKey; ///< Scoped by workspace; empty: none.
  bool mSendOnce = false;      ///< The request must not repeat.

  std::string mTraceParent; ///< Empty: not traced.
};

/// Told how calls to upstreams went. Each answer comes exactly once, and never
/// from within Perform().
class UpstreamCallerListener
{
public:
  virtual ~UpstreamCallerListener() = default;

  /// The last check before the bytes of Prefill or CallPlain leave.
  virtual bool MayStillSend(const RequestCommand& aCommand) = 0;

  virtual void OnReserveAnswer(const RequestCommand& aCommand,
                               const ReserveAnswer& aAnswer) = 0;
  virtual void OnPrefillAnswer(const RequestCommand& aCommand,
                               const PrefillAnswer& aAnswer) = 0;
  virtual void OnImportAnswer(const RequestCommand& aCommand,
                              const ImportAnswer& aAnswer) = 0;
  virtual void OnToken(const RequestCommand& aCommand,
                       std::uint32_t aIndex,
                       std::string aText) = 0;
  virtual void OnDecodeEnd(const RequestCommand& aCommand,
                           const DecodeEnd& aEnd) = 0;
  virtual void OnPlainAnswer(const RequestCommand& aCommand,
                             PlainAnswer aAnswer) = 0;
  /// A call found no connection or lost it: the upstream may be gone.
  virtual void OnUpstreamTrouble(const std::string& aUpstream) = 0;

  virtual void OnCancelAnswer(const RequestCommand& aCommand, bool aOk) = 0;
};

/// Time limits of calls to upstreams.
struct UpstreamCallerSettings
{
  Duration mConnectTimeout = 500ms;
  Duration mControlTimeout = 2s; ///< Reserve, import, cancel.
  Duration mPrefillTimeout = 30s;
  Duration mDecodeTimeout = 600s; ///< Whole stream.
  Duration mPlainTimeout = 30s;
  std::uint32_t mMaxAnswerBytes = 8u << 20; ///< Of a plain service.
};

/// Makes the calls of one entry process.
class UpstreamCaller
{
public:
  using Settings = UpstreamCallerSettings;

  /// aClient and aListener are not owned and outlive the caller. aInstance is
  /// this entry's instance id, the first part of request ids.
  UpstreamCaller(const Settings& aSettings,
                 HttpClient* aClient,
                 UpstreamCallerListener* aListener,
                 std::string aInstance);
  ~UpstreamCaller();

  /// Whether a kind is a command to an upstream.
  static bool IsUpstreamCommand(RequestCommandKind aKind);

  /// Starts the call that aCommand asks for. aContent may be null for Cancel.
  void Perform(const RequestCommand& aCommand, const CallerContent* aContent);

private:
  class Call;
  class StreamCall;
  class WholeCall;
  friend class Call;
  friend class WholeCall;
  friend class StreamCall;

  using Starter = void (UpstreamCaller::*)(const RequestCommand& aCommand,
                                           const CallerContent* aContent);
  using CallKey = std::tuple<std::uint64_t, std::uint32_t, std::string>;

  static Starter StarterOf(RequestCommandKind aKind);

  // Starters
  void StartReserve(const RequestCommand& aCommand, const CallerContent*);
  void StartPrefill(const RequestCommand& aCommand,
                    const CallerContent* aContent);
  void StartImport(const RequestCommand& aCommand, const CallerContent*);
  void StartDecode(const RequestCommand& aCommand,
                   const CallerContent* aContent);
  void StartPlain(const RequestCommand& aCommand,
                  const CallerContent* aContent);
  void StartCancel(const RequestCommand& aCommand, const CallerContent*);

  // Ends of whole calls
  void EndReserve(const RequestCommand& aCommand,
                  const CallOutcome& aOutcome,
                  const std::string& aBody);
  void EndPrefill(const RequestCommand& aCommand,
                  const CallOutcome& aOutcome,
                  const std::string& aBody);
  void EndImport(const RequestCommand& aCommand,
                 const CallOutcome& aOutcome,
                 const std::string& aBody);
  void EndCancel(const RequestCommand& aCommand,
                 const CallOutcome& aOutcome,
                 const std::string& aBody);

  HttpCall MakeCall(const RequestCommand& aCommand,
                    const char* aPath,
                    Duration aTimeout) const;
  std::string RequestId(const RequestCommand& aCommand) const;
  void Start(HttpCall aCall, const std::shared_ptr<Call>& aListener);
  void Finished(const CallKey& aKey, HttpClient::CallId aCall);

  Settings mSettings;
  HttpClient* mClient;
  UpstreamCallerListener* mListener;
  std::string mInstance;

  /// Open calls of each attempt at each upstream, so that Cancel ends them.
  std::map<CallKey, std::set<HttpClient::CallId>> mOpen;
};

} // namespace peridothoist
