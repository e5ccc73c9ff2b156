/// Validates callers' requests: finds the route, checks the API key, the body
/// and the pools, charges the allowance and passes the request to the
/// RequestRunner. A refused request has not run.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Entry/AllowanceDesk.h>
#include <Peridothoist/Entry/CompletionBody.h>
#include <Peridothoist/Entry/EntryView.h>
#include <Peridothoist/Entry/ErrorAnswer.h>
#include <Peridothoist/Entry/RequestRunner.h>
#include <Peridothoist/Shell/HttpServer.h>
#include <Peridothoist/Shell/Reactor.h>
#include <Peridothoist/Shell/Trace.h>

#include <array>

namespace peridothoist {

/// Number of values of IntakeError.
constexpr std::size_t kRequestErrorCount = 9;

/// Counters that are exported as metrics.
struct IntakeCounters
{
  std::array<std::uint64_t, kRequestErrorCount> mRefused{}; ///< By IntakeError.
};

/// Settings of a RequestIntake.
struct RequestIntakeSettings
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
class RequestIntake
{
public:
  using Settings = RequestIntakeSettings;

  /// The pointers are not owned.
  RequestIntake(const Settings& aSettings,
                Reactor* aReactor,
                EntryView* aView,
                AllowanceDesk* aAllowance,
                RequestRunner* aExecutor,
                Tracer* aTracer);

  /// Starts one request or refuses it.
  void OnRequest(std::shared_ptr<HttpExchange> aExchange);

  const IntakeCounters& Counters() const { return mCounters; }

  /// Returns the key in the Authorization header of a request, or an empty
  /// string if there is none.
  static std::string_view BearerKey(const HttpRequest& aRequest);

private:
  /// A request that is being checked.
  struct Candidate
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::optional<KeyIdentity> mIdentity; ///< Empty on open routes.
    std::optional<CompletionBody> mCompletion;
    CompletionDialect mDialect = CompletionDialect::Chat;
    std::shared_ptr<const Route> mRoute;
    double mTokens = 0; ///< Tokens to take from the allowance.
    TimePoint mArrivedAt;
  };

  using Check = bool (RequestIntake::*)(Candidate& aCandidate);

  // The checks. Each returns true, or sends a refusal and returns false.
  bool CheckPath(Candidate& aCandidate);
  bool CheckViewFreshness(Candidate& aCandidate);
  bool CheckKey(Candidate& aCandidate);
  bool CheckSize(Candidate& aCandidate);
  bool CheckBody(Candidate& aCandidate);
  bool CheckRoute(Candidate& aCandidate);
  bool CheckPools(Candidate& aCandidate);

  void SpendAllowance(const std::shared_ptr<Candidate>& aCandidate);
  void OnAllowanceResult(Candidate& aCandidate, const AllowanceAnswer& aResult);
  void StartRequest(Candidate& aCandidate);
  CallerContent MakeContent(const Candidate& aCandidate) const;
  std::string WorkspaceOf(const Candidate& aCandidate) const;
  /// Sends an error response and returns false.
  bool Refuse(const Candidate& aCandidate,
              IntakeError aError,
              std::string aMessage,
              Duration aRetryAfter = Duration::zero());

  Settings mSettings;
  Reactor* mReactor;
  EntryView* mView;
  AllowanceDesk* mAllowance;
  RequestRunner* mExecutor;
  Tracer* mTracer;
  IntakeCounters mCounters;
};

} // namespace peridothoist
