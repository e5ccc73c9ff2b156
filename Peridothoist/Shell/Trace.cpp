/// Traces: a span for each hop of a request, one log line each.
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Trace.h>

#include <fmt/format.h>

#include <limits>

namespace peridothoist {

namespace {

// Where the parts of "00-<32 hex>-<16 hex>-<2 hex>" stand.
constexpr std::size_t kTraceparentSize = 55;
constexpr std::size_t kTraceHighAt = 3;
constexpr std::size_t kTraceLowAt = 19;
constexpr std::size_t kSpanAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::uint64_t kSampledFlag = 1;

/// Reads lower-case hex, which is all that the format allows.
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
WallMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aHeader)
{
  const bool sizeFits =
    aHeader.size() == kTraceparentSize ||
    (aHeader.size() > kTraceparentSize && aHeader[kTraceparentSize] == '-');
  if (!sizeFits || aHeader[2] != '-' || aHeader[kSpanAt - 1] != '-' ||
      aHeader[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const auto version = ParseHex(aHeader.substr(0, 2));
  const auto high = ParseHex(aHeader.substr(kTraceHighAt, 16));
  const auto low = ParseHex(aHeader.substr(kTraceLowAt, 16));
  const auto span = ParseHex(aHeader.substr(kSpanAt, 16));
  const auto flags = ParseHex(aHeader.substr(kFlagsAt, 2));
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
                     aContext.mTraceHigh,
                     aContext.mTraceLow,
                     aContext.mSpan,
                     aContext.mSampled ? 1 : 0);
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
    mParent = aOther.mParent;
    mName = aOther.mName;
    mOpen = std::exchange(aOther.mOpen, false);
    mStart = aOther.mStart;
    mBegun = aOther.mBegun;
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
  if (mOpen) {
    mAttributes += mAttributes.empty() ? "" : " ";
    mAttributes += fmt::format("{}={}", aKey, aValue);
  }
}

void
Span::Set(std::string_view aKey, std::int64_t aValue)
{
  if (mOpen) {
    Set(aKey, std::to_string(aValue));
  }
}

void
Span::End()
{
  if (!mOpen) {
    return;
  }
  mOpen = false;
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
    std::chrono::steady_clock::now() - mBegun);
  Log::Info("span")
    .Field("name", mName)
    .Field(
      "trace",
      fmt::format("{:016x}{:016x}", mContext.mTraceHigh, mContext.mTraceLow))
    .Field("span", fmt::format("{:016x}", mContext.mSpan))
    .Field("parent", fmt::format("{:016x}", mParent))
    .Field("start_us", mStart)
    .Field("duration_us", took.count())
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
  context.mTraceHigh = NewId();
  context.mTraceLow = NewId();
  context.mSpan = NewId();
  context.mSampled =
    mSettings.mSamplingRatio > 0 && mRandom.Unit() < mSettings.mSamplingRatio;
  return Begin(aName, context, 0);
}

Span
Tracer::StartChild(const char* aName, const TraceContext& aParent)
{
  TraceContext context = aParent;
  context.mSpan = NewId();
  return Begin(aName, context, aParent.mSpan);
}

Span
Tracer::Begin(const char* aName,
              const TraceContext& aContext,
              std::uint64_t aParent)
{
  Span span;
  span.mContext = aContext;
  span.mParent = aParent;
  span.mName = aName;
  span.mOpen = aContext.mSampled && mSettings.mSamplingRatio > 0;
  if (span.mOpen) {
    span.mStart = WallMicros();
    span.mBegun = std::chrono::steady_clock::now();
  }
  return span;
}

std::uint64_t
Tracer::NewId()
{
  return mRandom.Below(std::numeric_limits<std::uint64_t>::max()) + 1;
}

} // namespace peridothoist
