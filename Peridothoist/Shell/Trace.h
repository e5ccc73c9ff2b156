/// Distributed tracing. Each hop of a request is a span; the W3C traceparent
/// header connects the spans. Debian has no package of OpenTelemetry for C++,
/// so each finished span is written as one log line, "event=span", with the ids
/// of the W3C format, which a collector can convert to other formats. Tracing
/// is off unless a sampling ratio is set.
#pragma once

#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Core/Random.h>

namespace peridothoist {

/// Identity of a span, as sent in the traceparent header.
struct TraceContext
{
  std::uint64_t mTraceIdHigh = 0; ///< Upper half of the trace id.
  std::uint64_t mTraceIdLow = 0;  ///< Lower half of the trace id.
  std::uint64_t mSpanId = 0;
  bool mIsSampled = false;

  bool IsValid() const
  {
    return (mTraceIdHigh | mTraceIdLow) != 0 && mSpanId != 0;
  }
};

/// Parses a traceparent header. Returns nullopt when it violates the W3C
/// format.
std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader);

/// Returns the traceparent header for a context.
std::string
ToTraceparent(const TraceContext& aContext);

/// One hop of a request. A span that isn't sampled costs almost nothing. The
/// destructor ends a span on which End() was not called.
class Span
{
public:
  /// Creates a span that is never written.
  Span() = default;
  Span(Span&& aOther) noexcept;
  Span& operator=(Span&& aOther) noexcept;
  ~Span();

  /// Returns the context to send to the next hop.
  const TraceContext& Context() const { return mContext; }

  /// Adds an attribute. Must not be used for API keys, prompts or completions.
  void Set(std::string_view aKey, std::string_view aValue);
  void Set(std::string_view aKey, std::int64_t aValue);

  /// Ends the span and writes it.
  void End();

private:
  friend class Tracer;

  TraceContext mContext;
  std::uint64_t mParentSpanId = 0; ///< 0 for the first span of a trace.
  const char* mName = "";
  bool mIsRecording = false;     ///< End() will write the span.
  std::int64_t mStartMicros = 0; ///< Wall clock, microseconds since 1970.
  std::chrono::steady_clock::time_point mStartedAt;
  std::string mAttributes; ///< Space-separated "key=value" pairs.
};

/// Creates spans.
class Tracer
{
public:
  struct Settings
  {
    double mSamplingRatio = 0; ///< Fraction of new traces to write, 0-1.
  };

  Tracer(const Settings& aSettings, std::uint64_t aSeed);

  /// Starts the first span of a request. With a valid traceparent it is a child
  /// of the caller's span and keeps the caller's sampling decision, unless
  /// tracing is off.
  Span StartRoot(const char* aName, std::string_view aTraceparent);

  /// Starts a child of another span. aName must outlive the span.
  Span StartChild(const char* aName, const TraceContext& aParent);

private:
  Span BeginSpan(const char* aName,
                 const TraceContext& aContext,
                 std::uint64_t aParent);
  std::uint64_t NewId();

  Settings mSettings;
  Random mRandom;
};

} // namespace peridothoist
