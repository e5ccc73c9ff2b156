/// Traces: a span for each hop of a request, tied together by the W3C
/// traceparent header. There is no OpenTelemetry for C++ among Debian's
/// packages, so the nearest kin is used: each finished span is one log line,
/// "event=span", with the ids of the W3C format, which a collector can turn
/// into any other format. Off unless a sampling ratio is set.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

namespace peridothoist {

/// A span's identity, as traceparent carries it.
struct TraceContext
{
  std::uint64_t mTraceHigh = 0; ///< Upper half of the trace id.
  std::uint64_t mTraceLow = 0;  ///< Lower half of the trace id.
  std::uint64_t mSpan = 0;
  bool mSampled = false;

  bool IsValid() const { return (mTraceHigh | mTraceLow) != 0 && mSpan != 0; }
};

/// Reads a traceparent header; empty when it breaks the W3C format.
std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader);

/// Writes a traceparent header.
std::string
ToTraceparent(const TraceContext& aContext);

/// One hop of a request, from Begin to End. A span that isn't sampled costs
/// next to nothing. One that goes without End() is written as ended then.
class Span
{
public:
  /// A span that is never written.
  Span() = default;
  Span(Span&& aOther) noexcept;
  Span& operator=(Span&& aOther) noexcept;
  ~Span();

  /// What to send on to the next hop.
  const TraceContext& Context() const { return mContext; }

  /// Adds an attribute. Never a key, a prompt or an answer.
  void Set(std::string_view aKey, std::string_view aValue);
  void Set(std::string_view aKey, std::int64_t aValue);

  /// Ends the span and writes it.
  void End();

private:
  friend class Tracer;

  TraceContext mContext;
  std::uint64_t mParent = 0; ///< 0: the trace starts here.
  const char* mName = "";
  bool mOpen = false;      ///< To be written at End().
  std::int64_t mStart = 0; ///< Wall clock, microseconds since 1970.
  std::chrono::steady_clock::time_point mBegun;
  std::string mAttributes; ///< "key=value" pairs, ready for the line.
};

/// Starts spans.
class Tracer
{
public:
  struct Settings
  {
    double mSamplingRatio = 0; ///< Share of new traces that are written, 0-1.
  };

  Tracer(const Settings& aSettings, std::uint64_t aSeed);

  /// Starts the first span of ours: a child of the caller's when it sent a
  /// good traceparent, whose sampling decision is kept unless tracing is off.
  Span StartRoot(const char* aName, std::string_view aTraceparent);

  /// Starts a child of another span. aName must outlive the span.
  Span StartChild(const char* aName, const TraceContext& aParent);

private:
  Span Begin(const char* aName,
             const TraceContext& aContext,
             std::uint64_t aParent);
  std::uint64_t NewId();

  Settings mSettings;
  Random mRandom;
};

} // namespace peridothoist
