/// Formats of logs, metrics and traces, and the reading of settings.
#define BOOST_TEST_MODULE Observation
#include <Peridothoist/Peridothoist.h>
#include <Peridothoist/Shell/FlagsFromEnvironment.h>
#include <Peridothoist/Shell/Log.h>
#include <Peridothoist/Shell/Metrics.h>
#include <Peridothoist/Shell/Trace.h>

#include <boost/test/unit_test.hpp>
#include <gflags/gflags.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>

DEFINE_int32(test_number, 1, "A number");
DEFINE_string(test_text, "", "A text");
DEFINE_string(test_other, "kept", "A text that is not set");

using namespace peridothoist;
using namespace std::string_literals;

RC_BOOST_PROP(AnyValueIsOneLogToken, (const std::string& aValue))
{
  const std::string quoted = QuoteForLog(aValue);
  RC_ASSERT(!quoted.empty());
  const bool isPlain = quoted == aValue;
  RC_ASSERT(isPlain || (quoted.front() == '"' && quoted.back() == '"'));
  const auto breaksLine = [](char aChar) {
    return aChar == '\n' || aChar == '\r' || aChar == '\0';
  };
  RC_ASSERT(std::none_of(quoted.begin(), quoted.end(), breaksLine));
  RC_ASSERT(!isPlain || quoted.find(' ') == std::string::npos);
}

BOOST_AUTO_TEST_CASE(LogLevels)
{
  for (const char* name : { "debug", "info", "warning", "error", "off" }) {
    BOOST_TEST(ToName(LogLevelFromName(name).value()) == name);
  }
  BOOST_TEST(!LogLevelFromName("loud"));
  Log::Settings settings;
  settings.mLevel = LogLevel::Error;
  Log::Start(settings);
  BOOST_TEST(!Log::IsEnabled(LogLevel::Warning));
  BOOST_TEST(Log::IsEnabled(LogLevel::Error));
  Log::Error("test")
    .Field("braces", "{} {0}")
    .Field("number", 7)
    .Field("real", 0.5);
  Log::Stop();
  BOOST_TEST(Log::IsEnabled(LogLevel::Info));
}

BOOST_AUTO_TEST_CASE(MetricsInPrometheusFormat)
{
  Metrics metrics;
  metrics.Describe("requests_total", "Requests.");
  metrics.GetCounter("requests_total", { { "code", "200" } }).Add();
  metrics.GetCounter("requests_total", { { "code", "200" } }).Add(2);
  metrics.GetCounter("requests_total", { { "code", "a\"b\n" } }).Add();
  metrics.GetGauge("open").Set(4);
  Summary& summary = metrics.GetSummary("latency_seconds", { { "hop", "x" } });
  for (int i = 1; i <= 1000; ++i) {
    summary.Observe(std::chrono::milliseconds(i));
  }
  const std::string text = metrics.Render();
  for (const char* line : { "# HELP requests_total Requests.\n",
                            "# TYPE requests_total counter\n",
                            "requests_total{code=\"200\"} 3\n",
                            "requests_total{code=\"a\\\"b\\n\"} 1\n",
                            "open 4\n",
                            "latency_seconds_count{hop=\"x\"} 1000\n",
                            "latency_seconds_max{hop=\"x\"} 1\n" }) {
    BOOST_TEST(text.find(line) != std::string::npos, line << text);
  }
  BOOST_TEST(summary.Mean() == 0.5005, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(summary.Quantile(0) == 0.5, boost::test_tools::tolerance(0.02));
  BOOST_TEST(summary.Quantile(2) == 0.99, boost::test_tools::tolerance(0.02));
  BOOST_TEST(Summary().Quantile(0) == 0);
}

RC_BOOST_PROP(TraceparentRoundTrip,
              (std::uint64_t aHigh, std::uint64_t aSpan, bool aSampled))
{
  RC_PRE(aSpan != 0);
  const TraceContext context = { aHigh, 1, aSpan, aSampled };
  const auto read = ParseTraceparent(ToTraceparent(context));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->mTraceIdHigh == aHigh && read->mTraceIdLow == 1U);
  RC_ASSERT(read->mSpanId == aSpan && read->mIsSampled == aSampled);
}

RC_BOOST_PROP(AnyTraceparentIsInvalidOrParsed, (const std::string& aHeader))
{
  if (const auto read = ParseTraceparent(aHeader)) {
    RC_ASSERT(read->IsValid());
  }
}

BOOST_AUTO_TEST_CASE(HistogramBucketsAreCumulative)
{
  Metrics metrics;
  Histogram& histogram = metrics.GetHistogram("wait_seconds");
  histogram.Observe(4ms);
  histogram.Observe(100ms);
  histogram.Observe(1h);
  const std::string text = metrics.Render();
  const auto has = [&](const std::string& aLine) {
    return text.find(aLine + "\n") != std::string::npos;
  };
  BOOST_TEST(has("# TYPE wait_seconds histogram"));
  BOOST_TEST(has("wait_seconds_bucket{le=\"0.005\"} 1"));
  BOOST_TEST(has("wait_seconds_bucket{le=\"0.1\"} 2"));
  BOOST_TEST(has("wait_seconds_bucket{le=\"15\"} 2"));
  BOOST_TEST(has("wait_seconds_bucket{le=\"+Inf\"} 3"));
  BOOST_TEST(has("wait_seconds_count 3"));
}

BOOST_AUTO_TEST_CASE(InvalidTraceparents)
{
  const std::string valid =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  BOOST_TEST(ParseTraceparent(valid).has_value());
  BOOST_TEST(ParseTraceparent("01" + valid.substr(2) + "-more").has_value());
  for (const std::string& invalid :
       { std::string(),
         valid + "-more",
         "ff" + valid.substr(2),
         "00-00000000000000000000000000000000-b7ad6b7169203331-01"s,
         "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01"s,
         "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"s }) {
    BOOST_TEST(!ParseTraceparent(invalid).has_value(), invalid);
  }
}

BOOST_AUTO_TEST_CASE(ChildSpansKeepTraceAndSampling)
{
  Tracer off({ 0 }, 1);
  Tracer on({ 1 }, 1);
  BOOST_TEST(!off.StartRoot("a", "").Context().mIsSampled);
  Span root = on.StartRoot("a", "");
  Span child = on.StartChild("b", root.Context());
  BOOST_TEST(child.Context().mIsSampled);
  BOOST_TEST(child.Context().mTraceIdHigh == root.Context().mTraceIdHigh);
  BOOST_TEST(child.Context().mSpanId != root.Context().mSpanId);
  const std::string unsampled =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
  BOOST_TEST(!on.StartRoot("a", unsampled).Context().mIsSampled);
}

BOOST_AUTO_TEST_CASE(CommandLineOverridesEnvironment)
{
  BOOST_TEST(EnvironmentVariableOf("peer_port") == "PERIDOTHOIST_PEER_PORT");
  ::setenv("PERIDOTHOIST_TEST_NUMBER", "5", 1);
  ::setenv("PERIDOTHOIST_TEST_TEXT", "environment", 1);
  std::string program = "test";
  std::string flag = "--test_text=command line";
  std::vector<char*> arguments = { program.data(), flag.data(), nullptr };
  int argc = 2;
  char** argv = arguments.data();
  std::string reason;
  BOOST_TEST(ReadFlags(&argc, &argv, &reason), reason);
  BOOST_TEST(FLAGS_test_number == 5);
  BOOST_TEST(FLAGS_test_text == "command line");
  BOOST_TEST(FLAGS_test_other == "kept");
  ::setenv("PERIDOTHOIST_TEST_NUMBER", "many", 1);
  BOOST_TEST(!ReadFlags(&argc, &argv, &reason));
  BOOST_TEST(reason.find("PERIDOTHOIST_TEST_NUMBER") != std::string::npos);
  BOOST_TEST(reason.find("many") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(SettingChecks)
{
  for (const char* valid : { "127.0.0.1:0", "10.1.2.3:65535", "[::1]:80" }) {
    BOOST_TEST(!CheckSocketAddress("address", valid), valid);
  }
  for (const char* invalid : { "",
                               "127.0.0.1",
                               "localhost:80",
                               "127.0.0.1:65536",
                               "127.0.0.1:-1",
                               "127.0.0.1:8x",
                               "::1:80",
                               "[127.0.0.1]:80" }) {
    const auto error = CheckSocketAddress("address", invalid);
    BOOST_REQUIRE(error.has_value());
    BOOST_TEST(error->find("setting address is") != std::string::npos);
  }
  BOOST_TEST(!CheckIpAddress("ip", "::1"));
  BOOST_TEST(CheckIpAddress("ip", "1.2.3").has_value());
  BOOST_TEST(!CheckName("zone", "mxc-uno"));
  BOOST_TEST(CheckName("zone", "a b").has_value());
  BOOST_TEST(CheckName("zone", "").has_value());
  BOOST_TEST(!CheckRange("ratio", 1, 0, 1));
  BOOST_TEST(CheckRange("ratio", 1.1, 0, 1).value() ==
             "setting ratio is \"1.1\"; allowed: 0 to 1");
  std::string reason;
  BOOST_TEST(!ReadFileSetting("cert", "/nowhere/at/all", &reason));
  BOOST_TEST(reason.find("setting cert is") != std::string::npos);
}
