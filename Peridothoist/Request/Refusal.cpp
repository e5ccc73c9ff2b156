#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Request/Refusal.h>

#include <array>

namespace peridothoist {

namespace {

/// The name, HTTP statuses and message of a refusal kind.
struct RefusalText
{
  const char* mName;
  int mStatusNotRun;     ///< HTTP status with the verdict "not run".
  int mStatusMayHaveRun; ///< HTTP status with any other verdict.
  const char* mMessage;
};

constexpr std::array<RefusalText, kRefusalKinds> kTexts = { {
  { "key_withdrawn", 401, 502, "The API key is not valid." },
  { "view_stale", 503, 502, "This VM's configuration is out of date." },
  { "pool_not_allowed", 403, 502, "The workspace may not use this route." },
  { "idempotency_key_missing", 400, 400, "An Idempotency-Key is required." },
  { "idempotency_key_mismatch",
    422,
    422,
    "The Idempotency-Key was used with another body." },
  { "in_progress",
    409,
    409,
    "A request with this Idempotency-Key is running or may have run." },
  { "claim_unavailable",
    503,
    502,
    "The request could not be recorded before running it." },
  { "queue_full", 429, 502, "Too many requests are queued." },
  { "too_late", 503, 504, "The request cannot be served before its deadline." },
  { "deadline_passed",
    503,
    504,
    "The request was not served before its deadline." },
  { "no_upstream", 503, 502, "No upstream accepts requests." },
  { "too_large", 413, 413, "No upstream has enough memory for this request." },
  { "upstream_failed", 503, 502, "The upstream failed." },
  { "quarantined",
    503,
    502,
    "This request was running when upstreams crashed and is quarantined." },
  { "no_route", 404, 502, "No route of this host matches the path." },
  { "over_allowance", 429, 502, "The workspace's allowance is used up." },
  { "bad_request", 400, 400, "The request is malformed." },
  { "leaving",
    503,
    502,
    "This VM is shutting down; another VM can serve the request." },
  { "origin_unknown",
    503,
    502,
    "The software version that began the stream is not known here." },
  { "buffers_full",
    503,
    502,
    "This VM has no memory for the request at present." },
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
