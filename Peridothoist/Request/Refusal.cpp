#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

#include <array>

namespace peridothoist {

namespace {

/// The name, statuses and message of a refusal kind.
struct RefusalText
{
  const char* mName;
  int mStatusNotRun;
  int mStatusMayHaveRun;
  const char* mMessage;
};

constexpr std::array<RefusalText, kRefusalKinds> kTexts = { {
  { "key_withdrawn", 401, 502, "The key is not valid." },
  { "view_stale", 503, 502, "This VM's configuration is too old to act on." },
  { "pool_not_allowed", 403, 502, "The workspace may not use this route." },
  { "idempotency_key_missing", 400, 400, "An Idempotency-Key is required." },
  { "idempotency_key_mismatch",
    422,
    422,
    "The Idempotency-Key was used with another body." },
  { "in_progress",
    409,
    409,
    "A request with this Idempotency-Key runs or may have run." },
  { "claim_unavailable",
    503,
    502,
    "The request could not be recorded before running it." },
  { "queue_full", 429, 502, "Too many requests wait." },
  { "too_late", 503, 504, "The request can't be answered in time." },
  { "deadline_passed", 503, 504, "The request was not answered in time." },
  { "no_upstream", 503, 502, "No upstream takes work." },
  { "too_large", 413, 413, "No upstream can hold this request." },
  { "upstream_failed", 503, 502, "The upstream failed." },
  { "quarantined",
    503,
    502,
    "This request was present at upstream failures and is held back." },
  { "no_route", 404, 502, "No route of this host has the path." },
  { "over_allowance", 429, 502, "The workspace's allowance is used up." },
  { "bad_request", 400, 400, "The request can't be read." },
  { "leaving", 503, 502, "This VM stops; another one serves the request." },
} };

const RefusalText&
TextOf(RefusalKind aKind)
{
  return kTexts[static_cast<std::size_t>(aKind)];
}

} // namespace

const char*
ToName(RefusalKind aKind)
{
  return TextOf(aKind).mName;
}

Refusal
Refusal::Make(RefusalKind aKind,
              const RunVerdictTracker& aTracker,
              Duration aRetryAfter)
{
  return Refusal{ aKind, aTracker.Get(), aRetryAfter };
}

int
Refusal::Status() const
{
  const RefusalText& text = TextOf(mKind);
  return mVerdict == RunVerdict::NotRun ? text.mStatusNotRun
                                        : text.mStatusMayHaveRun;
}

const char*
Refusal::Message() const
{
  return TextOf(mKind).mMessage;
}

} // namespace peridothoist
