/// Distributed tracing: each hop of a request is a span, written as a log line.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Trace.h>

#include <fmt/format.h>

#include <limits>

namespace peridothoist {

namespace {

// Size, and offsets of the fields, of "00-<32 hex>-<16 hex>-<2 hex>".
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceIdHighOffset = 3;
constexpr std::size_t kTraceIdLowOffset = 19;
constexpr std::size_t kSpanIdOffset = 36;
constexpr std::size_t kFlagsOffset = 53;
constexpr std::uint64_t kSampledFlag = 1;

/// Parses lower-case hex; the format allows no upper case.
std::optional<std::uint64_t>
ParseHex(std::string_view aText)
{
  std::uint64_t value = 0;
  for (const char c : aText) {
    std::uint64_t digit = 0;
    if (c >= '0' && c <= '9') {
      digit = static_cast<std::uint64_t>(c - '0');
    } else if (c >= 'a' && c <= 'f') {
      digit = static_cast<std::uint64_t>(c - 'a') + 10;
    } else {
      return std::nullopt;
    }
    value = (value << 4U) | digit;
  }
  return value;
}

std::int64_t
WallClockMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader)
{
  const bool isSizeValid =
    aHeader.size() == kTraceparentSize ||
    (aHeader.size() > kTraceparentSize && aHeader[kTraceparentSize] == '-');
  if (!isSizeValid || aHeader[2] != '-' || aHeader[kSpanIdOffset - 1] != '-' ||
      aHeader[kFlagsOffset - 1] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex(aHeader.substr(0, 2));
  const auto high = ParseHex(aHeader.substr(kTraceIdHighOffset, 16));
  const auto low = ParseHex(aHeader.substr(kTraceIdLowOffset, 16));
  const auto span = ParseHex(aHeader.substr(kSpanIdOffset, 16));
  const auto flags = ParseHex(aHeader.substr(kFlagsOffset, 2));
  if (!version || !high || !low || !span || !flags || *version == 0xff) {
    return std::nullopt;
  }
  if (*version == 0 && aHeader.size() != kTraceparentSize) {
    return std::nullopt;
  }
  const TraceContext context = {
    *high, *low, *span, (*flags & kSampledFlag) != 0
  };
  if (!context.IsValid()) {
    return std::nullopt;
  }
  return context;
}

std::string
ToTraceparent(const TraceContext& aContext)
{
  return fmt::format("00-{:016x}{:016x}-{:016x}-{:02x}",
                     aContext.mTraceIdHigh,
                     aContext.mTraceIdLow,
                     aContext.mSpanId,
                     aContext.mIsSampled ? 1 : 0);
}

Span::Span(Span&& aOther) noexcept
{
  *this = std::move(aOther);
}

Span&
Span::operator=(Span&& aOther) noexcept
{
  if (this != &aOther) {
    End();
    mContext = aOther.mContext;
    mParentSpanId = aOther.mParentSpanId;
    mName = aOther.mName;
    mIsRecording = std::exchange(aOther.mIsRecording, false);
    mStartMicros = aOther.mStartMicros;
    mStartedAt = aOther.mStartedAt;
    mAttributes = std::move(aOther.mAttributes);
  }
  return *this;
}

Span::~Span()
{
  End();
}

void
Span::Set(std::string_view aKey, std::string_view aValue)
{
  if (mIsRecording) {
    mAttributes += mAttributes.empty() ? "" : " ";
    mAttributes += fmt::format("{}={}", aKey, aValue);
  }
}

void
Span::Set(std::string_view aKey, std::int64_t aValue)
{
  if (mIsRecording) {
    Set(aKey, std::to_string(aValue));
  }
}

void
Span::End()
{
  if (!mIsRecording) {
    return;
  }
  mIsRecording = false;
  const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::steady_clock::now() - mStartedAt);
  Log::Info("span")
    .Field("name", mName)
    .Field("trace",
           fmt::format(
             "{:016x}{:016x}", mContext.mTraceIdHigh, mContext.mTraceIdLow))
    .Field("span", fmt::format("{:016x}", mContext.mSpanId))
    .Field("parent", fmt::format("{:016x}", mParentSpanId))
    .Field("start_us", mStartMicros)
    .Field("duration_us", duration.count())
    .Field("attributes", mAttributes);
}

Tracer::Tracer(const Settings& aSettings, std::uint64_t aSeed)
  : mSettings(aSettings)
  , mRandom(aSeed)
{
}

Span
Tracer::StartRoot(const char* aName, std::string_view aTraceparent)
{
  if (const auto parent = ParseTraceparent(aTraceparent)) {
    return StartChild(aName, *parent);
  }
  TraceContext context;
  context.mTraceIdHigh = NewId();
  context.mTraceIdLow = NewId();
  context.mSpanId = NewId();
  context.mIsSampled = mSettings.mSamplingRatio > 0 &&
                       mRandom.UniformFraction() < mSettings.mSamplingRatio;
  return BeginSpan(aName, context, 0);
}

Span
Tracer::StartChild(const char* aName, const TraceContext& aParent)
{
  TraceContext context = aParent;
  context.mSpanId = NewId();
  return BeginSpan(aName, context, aParent.mSpanId);
}

Span
Tracer::BeginSpan(const char* aName,
                  const TraceContext& aContext,
                  std::uint64_t aParent)
{
  Span span;
  span.mContext = aContext;
  span.mParentSpanId = aParent;
  span.mName = aName;
  span.mIsRecording = aContext.mIsSampled && mSettings.mSamplingRatio > 0;
  if (span.mIsRecording) {
    span.mStartMicros = WallClockMicros();
    span.mStartedAt = std::chrono::steady_clock::now();
  }
  return span;
}

std::uint64_t
Tracer::NewId()
{
  return mRandom.UniformBelow(std::numeric_limits<std::uint64_t>::max()) + 1;
}

} // namespace peridothoist
