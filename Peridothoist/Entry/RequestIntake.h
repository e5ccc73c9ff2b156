/// Takes callers' requests in: finds the route, checks the key, the body and
/// the pools, spends the allowance, and hands the request to the runner.
/// Whatever it refuses has not run.
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

constexpr std::size_t kIntakeErrors = 9; ///< Count of IntakeError.

/// Counters for metrics.
struct IntakeCounters
{
  std::array<std::uint64_t, kIntakeErrors> mRefused{}; ///< By IntakeError.
};

/// Settings of a RequestIntake.
struct RequestIntakeSettings
{
  std::string mZone;     ///< Of this VM: callers come from near by.
  std::string mInstance; ///< Of this entry process; part of answers' ids.
  CompletionLimits mLimits;
  /// Tokens that a call to a plain service costs besides its body.
  std::uint32_t mPlainBaseTokens = 1;
};

/// Takes in the requests of one entry process.
class RequestIntake
{
public:
  using Settings = RequestIntakeSettings;

  /// Nothing is owned.
  RequestIntake(const Settings& aSettings,
                Reactor* aReactor,
                EntryView* aView,
                AllowanceDesk* aAllowance,
                RequestRunner* aRunner,
                Tracer* aTracer);

  /// Takes one request in.
  void OnRequest(std::shared_ptr<HttpExchange> aExchange);

  const IntakeCounters& Counters() const { return mCounters; }

  /// The key in a request's Authorization header; empty when there is none.
  static std::string_view BearerKey(const HttpRequest& aRequest);

private:
  /// A request on its way through the checks.
  struct Candidate
  {
    std::shared_ptr<HttpExchange> mExchange;
    std::optional<KeyIdentity> mIdentity; ///< Empty on open routes.
    std::optional<CompletionBody> mCompletion;
    CompletionDialect mDialect = CompletionDialect::Chat;
    std::shared_ptr<const Route> mRoute;
    double mTokens = 0; ///< To spend.
    TimePoint mArrivedAt;
  };

  using Check = bool (RequestIntake::*)(Candidate& aCandidate);

  // Checks, in order; each refuses by itself and returns false.
  bool CheckPath(Candidate& aCandidate);
  bool CheckFresh(Candidate& aCandidate);
  bool CheckKey(Candidate& aCandidate);
  bool CheckSize(Candidate& aCandidate);
  bool CheckBody(Candidate& aCandidate);
  bool CheckRoute(Candidate& aCandidate);
  bool CheckPools(Candidate& aCandidate);

  void Spend(const std::shared_ptr<Candidate>& aCandidate);
  void OnSpent(Candidate& aCandidate, const AllowanceAnswer& aAnswer);
  void Admit(Candidate& aCandidate);
  CallerContent MakeContent(const Candidate& aCandidate) const;
  std::string WorkspaceOf(const Candidate& aCandidate) const;
  bool Refuse(const Candidate& aCandidate,
              IntakeError aError,
              std::string aMessage,
              Duration aRetryAfter = Duration::zero());

  Settings mSettings;
  Reactor* mReactor;
  EntryView* mView;
  AllowanceDesk* mAllowance;
  RequestRunner* mRunner;
  Tracer* mTracer;
  IntakeCounters mCounters;
};

} // namespace peridothoist
