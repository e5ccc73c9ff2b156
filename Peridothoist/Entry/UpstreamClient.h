/// Executes the core's commands to upstreams over HTTP, using the protocol of
/// docs/UPSTREAMS.md, and reports the responses as typed events.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/CallResults.h>
#include <Peridothoist/Request/RequestCommand.h>
#include <Peridothoist/Shell/HttpClient.h>

#include <set>
#include <tuple>

namespace peridothoist {

/// Content of a caller's request that upstream calls need in addition to the
/// command.
struct CallerRequestContent
{
  std::string mPrompt; ///< Set for completions only.

  // Plain services
  std::string mMethod;
  std::string mTarget; ///< Path and query as forwarded.
  std::string mContentType;
  std::string mBody;
  std::string mIdempotencyKey; ///< Prefixed by the workspace; may be empty.
  bool mSendOnce = false;      ///< The request must not be sent twice.

  std::string mTraceParent; ///< Empty if the request is not traced.
};

/// Notified of the results of upstream calls. Each result is reported exactly
/// once and never from within Perform().
class UpstreamClientListener
{
public:
  virtual ~UpstreamClientListener() = default;

  /// Returns whether the call may still be sent. Called directly before the
  /// bytes of Prefill or CallPlain are sent.
  virtual bool MayStillSend(const RequestCommand& aCommand) = 0;

  virtual void OnReserveResult(const RequestCommand& aCommand,
                               const ReserveResult& aResult) = 0;
  virtual void OnPrefillResult(const RequestCommand& aCommand,
                               const PrefillResult& aResult) = 0;
  virtual void OnImportResult(const RequestCommand& aCommand,
                              const ImportResult& aResult) = 0;
  virtual void OnToken(const RequestCommand& aCommand,
                       std::uint32_t aIndex,
                       std::string aText) = 0;
  virtual void OnDecodeResult(const RequestCommand& aCommand,
                              const DecodeResult& aResult) = 0;
  virtual void OnPlainResult(const RequestCommand& aCommand,
                             PlainResult aResult) = 0;
  /// Called when a connection could not be opened or was lost, so that the
  /// upstream may be down.
  virtual void OnUpstreamConnectionFailed(const std::string& aUpstream) = 0;

  virtual void OnCancelResult(const RequestCommand& aCommand,
                              bool aIsConfirmed) = 0;
};

/// Limits of calls to upstreams.
struct UpstreamClientSettings
{
  Duration mConnectTimeout = 500ms;
  Duration mControlTimeout = 2s; ///< For reserve, import and cancel.
  Duration mPrefillTimeout = 30s;
  Duration mDecodeTimeout = 600s; ///< For the whole stream.
  Duration mPlainTimeout = 30s;
  /// Limit on the body of every response that is not streamed.
  std::uint32_t mMaxResponseBytes = 8u << 20;
};

/// Makes the upstream calls of one entry process.
class UpstreamClient
{
public:
  using Settings = UpstreamClientSettings;

  /// aClient and aListener are not owned and must outlive this object.
  /// aInstance is the instance id of this entry process, the first component
  /// of the request ids sent to upstreams.
  UpstreamClient(const Settings& aSettings,
                 HttpClient* aClient,
                 UpstreamClientListener* aListener,
                 std::string aInstance);
  ~UpstreamClient();

  /// Returns whether commands of this kind are upstream calls.
  static bool IsUpstreamCommand(RequestCommandKind aKind);

  /// Starts the call of aCommand. aContent may be null for Reserve, Import and
  /// Cancel.
  void Perform(const RequestCommand& aCommand,
               const CallerRequestContent* aContent);

private:
  class Call;
  class StreamingCall;
  class BufferedCall;
  friend class Call;
  friend class BufferedCall;
  friend class StreamingCall;

  using Starter =
    void (UpstreamClient::*)(const RequestCommand& aCommand,
                             const CallerRequestContent* aContent);
  using CallKey = std::tuple<std::uint64_t, std::uint32_t, std::string>;

  static Starter FindStarter(RequestCommandKind aKind);

  // One function per command kind
  void StartReserve(const RequestCommand& aCommand,
                    const CallerRequestContent*);
  void StartPrefill(const RequestCommand& aCommand,
                    const CallerRequestContent* aContent);
  void StartImport(const RequestCommand& aCommand, const CallerRequestContent*);
  void StartDecode(const RequestCommand& aCommand,
                   const CallerRequestContent* aContent);
  void StartPlain(const RequestCommand& aCommand,
                  const CallerRequestContent* aContent);
  void StartCancel(const RequestCommand& aCommand, const CallerRequestContent*);

  // Handlers of finished buffered calls
  void FinishReserve(const RequestCommand& aCommand,
                     const CallResult& aResult,
                     const std::string& aBody);
  void FinishPrefill(const RequestCommand& aCommand,
                     const CallResult& aResult,
                     const std::string& aBody);
  void FinishImport(const RequestCommand& aCommand,
                    const CallResult& aResult,
                    const std::string& aBody);
  void FinishCancel(const RequestCommand& aCommand,
                    const CallResult& aResult,
                    const std::string& aBody);

  HttpCall MakeCall(const RequestCommand& aCommand,
                    const char* aPath,
                    Duration aTimeout) const;
  std::string RequestId(const RequestCommand& aCommand) const;
  void Start(HttpCall aCall, const std::shared_ptr<Call>& aListener);
  void RemoveOpenCall(const CallKey& aKey, HttpClient::CallId aCall);

  Settings mSettings;
  HttpClient* mClient;
  UpstreamClientListener* mListener;
  std::string mInstance;

  /// Open calls of each attempt at each upstream, which Cancel aborts.
  std::map<CallKey, std::set<HttpClient::CallId>> mOpenCalls;
};

} // namespace peridothoist
