/// Validates callers' requests: finds the route, checks the API key, the body
/// and the pools, charges the allowance and passes the request to the
/// RequestExecutor. A refused request has not run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceManager.h>
#include <Peridothoist/Entry/CompletionRequest.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/ErrorResponse.h>
#include <Peridothoist/Entry/RequestExecutor.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>
#include <Peridothoist/Shell/Trace.h>

#include <array>

namespace peridothoist {

/// Number of values of RequestError.
constexpr std::size_t kRequestErrorCount = 9;

/// Counters that are exported as metrics.
struct RequestValidatorCounters
{
  std::array<std::uint64_t, kRequestErrorCount>
    mRefused{}; ///< By RequestError.
};

/// Settings of a RequestValidator.
struct RequestValidatorSettings
{
  /// Availability zone of this VM. It also counts as the callers' zone because
  /// callers use nearby entries.
  std::string mZone;
  std::string mInstance; ///< Id of this entry process; part of response ids.
  CompletionLimits mLimits;
  /// Cost of a request to a plain service in addition to that of its body.
  std::uint32_t mPlainRequestBaseTokens = 1;
};

/// Validates the requests to one entry process and starts the valid ones.
class RequestValidator
{
public:
  using Settings = RequestValidatorSettings;

  /// The pointers are not owned.
  RequestValidator(const Settings& aSettings,
                   Reactor* aReactor,
                   EntryView* aView,
                   AllowanceManager* aAllowance,
                   RequestExecutor* aExecutor,
                   Tracer* aTracer);

  /// Starts one request or refuses it.
  void OnRequest(std::shared_ptr<HttpExchange> aExchange);

  const RequestValidatorCounters& Counters() const { return mCounters; }

  /// Returns the key in the Authorization header of a request, or an empty
  /// string if there is none.
  static std::string_view BearerKey(const HttpRequest& aRequest);

private:
  /// A request that is being checked.
  struct Candidate
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::optional<KeyIdentity> mIdentity; ///< Empty on open routes.
    std::optional<CompletionRequest> mCompletion;
    CompletionDialect mDialect = CompletionDialect::Chat;
    std::shared_ptr<const Route> mRoute;
    double mTokens = 0; ///< Tokens to take from the allowance.
    TimePoint mArrivedAt;
  };

  using Check = bool (RequestValidator::*)(Candidate& aCandidate);

  // The checks. Each returns true, or sends a refusal and returns false.
  bool CheckPath(Candidate& aCandidate);
  bool CheckViewFreshness(Candidate& aCandidate);
  bool CheckKey(Candidate& aCandidate);
  bool CheckSize(Candidate& aCandidate);
  bool CheckBody(Candidate& aCandidate);
  bool CheckRoute(Candidate& aCandidate);
  bool CheckPools(Candidate& aCandidate);

  void SpendAllowance(const std::shared_ptr<Candidate>& aCandidate);
  void OnAllowanceResult(Candidate& aCandidate, const AllowanceResult& aResult);
  void StartRequest(Candidate& aCandidate);
  CallerRequestContent MakeContent(const Candidate& aCandidate) const;
  std::string WorkspaceOf(const Candidate& aCandidate) const;
  /// Sends an error response and returns false.
  bool Refuse(const Candidate& aCandidate,
              RequestError aError,
              std::string aMessage,
              Duration aRetryAfter = Duration::zero());

  Settings mSettings;
  Reactor* mReactor;
  EntryView* mView;
  AllowanceManager* mAllowance;
  RequestExecutor* mExecutor;
  Tracer* mTracer;
  RequestValidatorCounters mCounters;
};

} // namespace peridothoist
