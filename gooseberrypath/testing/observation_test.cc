// Tests of counters, log lines and spans.

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "gooseberrypath/counters.h"
#include "gooseberrypath/logging.h"
#include "gooseberrypath/tracing.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

namespace {

/// A file name that is unique to the process; the file is removed at the end.
struct TemporaryFile
{
  std::string name;

  explicit TemporaryFile(const std::string& aSuffix)
    : name(std::filesystem::temp_directory_path() /
           ("gooseberrypath_test_" + std::to_string(getpid()) + aSuffix))
  {
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::remove(name.c_str()); }

  std::string Read() const
  {
    std::ostringstream text;
    text << std::ifstream(name).rdbuf();
    return text.str();
  }
};

SpanLine Span(std::string aSpan, std::string aParent, std::string aName, int64_t aStartUs)
{
  SpanLine span;
  span.trace = "t1";
  span.span = std::move(aSpan);
  span.parent = std::move(aParent);
  span.name = std::move(aName);
  span.request = "r1";
  span.startUs = aStartUs;
  span.durationUs = 1500;
  return span;
}

} // namespace

TEST_CASE("Counters and gauges are rendered in the Prometheus text form", "[counters]")
{
  // Guards against a name that belongs to another counter.
  Counters counters;
  counters.Add(Counter::HostsLeaving, 3);
  const std::string text = counters.Render();
  CHECK(text.find("# HELP gooseberrypath_hosts_leaving_total Hosts that were found to be "
                  "leaving.\n# TYPE gooseberrypath_hosts_leaving_total counter\n"
                  "gooseberrypath_hosts_leaving_total 3\n") != std::string::npos);
  CHECK(text.find("\ngooseberrypath_requests_accepted_total 0\n") != std::string::npos);
  const std::string gauges =
    RenderGauges({ .state = DaemonState::Serving, .secondsSinceLogContact = 1.25 });
  CHECK(gauges.find("\ngooseberrypath_state 1\n") != std::string::npos);
  CHECK(gauges.find("\ngooseberrypath_log_contact_age_seconds 1.25\n") !=
        std::string::npos);
  CHECK(RenderGauges(DaemonGauges{}).find("_seconds +Inf\n") != std::string::npos);
}

TEST_CASE("Observation writes log lines and spans", "[observation]")
{
  // Guards against local time, and against text from outside that forges a line.
  const TemporaryFile log("_log");
  const TemporaryFile spans("_spans");
  {
    Observation observation({ .logFile = log.name,
                              .spanFile = spans.name,
                              .daemon = "d1",
                              .wallOffset = 1'000'000s });
    observation.Execute(WriteLog{ .part = "claims", .text = "a\nb" });
    observation.Execute(
      WriteLog{ .level = LogLevel::Debug, .part = "claims", .text = "hidden" });
    WriteSpan span;
    span.span = "a";
    span.start = TimePoint{ 5us };
    span.end = TimePoint{ 9us };
    observation.Execute(span);
  }
  CHECK(std::regex_match(
    log.Read(),
    std::regex(R"(\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z INFO claims: a\\x0ab\n)")));
  const auto line = ParseSpanLine(spans.Read());
  REQUIRE(line);
  CHECK(line->daemon == "d1");
  CHECK(line->startUs == 1'000'000'000'005);
  CHECK(line->durationUs == 4);
}

TEST_CASE("The spans of a request are printed as a tree", "[tracing]")
{
  // Guards against spans that are lost because their parent is missing or because they
  // are their own ancestor, and against spans of other requests.
  std::vector<SpanLine> spans = {
    Span("c", "b", "attempt", 2000), Span("a", "", "request", 1000),
    Span("b", "a", "claim", 1500),   Span("b", "a", "claim", 1500),
    Span("d", "gone", "peer", 3000), Span("x", "y", "loop", 4000),
    Span("y", "x", "loop", 5000),    Span("z", "", "other", 0)
  };
  spans.back().request = "r2";
  spans.back().trace = "t2";
  const std::string expected = "request  +0.000 ms  took 1.500 ms  request=r1\n"
                               "  claim  +0.500 ms  took 1.500 ms  request=r1\n"
                               "    attempt  +1.000 ms  took 1.500 ms  request=r1\n"
                               "peer  +2.000 ms  took 1.500 ms  request=r1  (parent gone "
                               "not found)\n"
                               "loop  +3.000 ms  took 1.500 ms  request=r1  (parent y is "
                               "also a descendant)\n"
                               "  loop  +4.000 ms  took 1.500 ms  request=r1\n";
  CHECK(RenderTrace(spans, "r1") == expected);
  CHECK(RenderTrace(spans, "t1") == expected);
  CHECK(RenderTrace(spans, "r3").empty());
}

TEST_CASE("The trace command counts broken lines", "[tracing]")
{
  // Guards against a file cut in the middle of a line that hides the other spans.
  const TemporaryFile file("_trace");
  WriteSpan span;
  span.name = "request";
  span.request = "r1";
  std::ofstream(file.name) << SpanToJson(span, "d1", 0us)
                           << "\n{\"span\":\"b\",\"na\n[1]\n{\"span\":1}\n";
  std::ostringstream out;
  std::ostringstream errors;
  CHECK(RunTrace(std::vector<std::string>{ file.name, "r1" }, out, errors) == 0);
  CHECK(out.str().starts_with("request"));
  CHECK(errors.str() == "3 broken lines were skipped\n");
  CHECK(RunTrace(std::vector<std::string>{ file.name, "r9" }, out, errors) == 1);
  CHECK(RunTrace(std::vector<std::string>{ "r9" }, out, errors) == 2);
}
