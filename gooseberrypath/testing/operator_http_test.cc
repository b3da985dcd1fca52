#include "gooseberrypath/operator_call.h"
#include "gooseberrypath/operator_http.h"

#include <atomic>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <kj/async-io.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "gooseberrypath/client.h"

using namespace gooseberrypath;
using namespace std::chrono_literals;

namespace {

/// Returns a loopback port that was free at the time of the call.
uint16_t FreePort()
{
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{ .sin_family = AF_INET,
                       .sin_port = 0,
                       .sin_addr = { htonl(INADDR_LOOPBACK) },
                       .sin_zero = {} };
  socklen_t length = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  REQUIRE(bind(handle, generic, length) == 0);
  REQUIRE(getsockname(handle, generic, &length) == 0);
  close(handle);
  return ntohs(address.sin_port);
}

struct Got
{
  unsigned status = 0;
  std::string body;
};

/// An OperatorHttp on a kj loop of this thread, with a sink that records events.
struct Fixture
{
  uint16_t port = FreePort();
  kj::AsyncIoContext io = kj::setupAsyncIo();
  std::vector<Event> events;
  OperatorSnapshot snapshot{ .reason = "config is at offset 3 of 9", .metrics = "m 1\n" };
  std::function<void(const Event&)> onEvent = [](const Event&) {};
  std::unique_ptr<OperatorHttp> operators;

  explicit Fixture(Duration aReplyTimeout = 10s)
  {
    operators = std::make_unique<OperatorHttp>(
      OperatorHttpOptions{ .address = "127.0.0.1:" + std::to_string(port),
                           .sink =
                             [this](const Event& aEvent) {
                               events.push_back(aEvent);
                               onEvent(aEvent);
                             },
                           .snapshot = [this] { return snapshot; },
                           .replyTimeout = aReplyTimeout });
  }

  Got Send(const std::string& aMethod, const std::string& aUrl,
           const std::string& aQuery = "", const std::string& aBody = "") const
  {
    cxxtools::http::Client client("127.0.0.1", port);
    cxxtools::http::Request request(aQuery.empty() ? aUrl : aUrl + "?" + aQuery);
    request.method(aMethod);
    request.body() << aBody;
    client.execute(request, cxxtools::Milliseconds(30'000));
    client.readBody();
    return { client.header().httpReturnCode(), client.body() };
  }

  /// Runs the function on another thread while the loop runs here.
  template<typename F>
  void WhileLoopRuns(F aFunction)
  {
    auto done = kj::newPromiseAndCrossThreadFulfiller<void>();
    std::thread thread([&] {
      aFunction();
      done.fulfiller->fulfill();
    });
    done.promise.wait(io.waitScope);
    thread.join();
  }

  Got Call(const std::string& aMethod, const std::string& aUrl,
           const std::string& aQuery = "", const std::string& aBody = "")
  {
    Got got;
    WhileLoopRuns([&] { got = Send(aMethod, aUrl, aQuery, aBody); });
    return got;
  }
};

std::string KindOf(const Got& aGot)
{
  return nlohmann::json::parse(aGot.body)["error"]["kind"];
}

} // namespace

TEST_CASE("Health, readiness and metrics come from the event loop", "[operator_http]")
{
  // Guards against a load balancer that sends requests to a daemon that is not serving.
  Fixture fixture;
  CHECK(fixture.Call("GET", "/healthz").status == 200);
  const Got starting = fixture.Call("GET", "/readyz");
  CHECK(starting.status == 503);
  CHECK(nlohmann::json::parse(starting.body)["reason"] == fixture.snapshot.reason);
  fixture.snapshot.state = DaemonState::Serving;
  CHECK(fixture.Call("GET", "/readyz").status == 200);
  fixture.snapshot.state = DaemonState::Draining;
  CHECK(fixture.Call("GET", "/readyz").status == 503);
  CHECK(fixture.Call("GET", "/metrics").body == "m 1\n");
}

TEST_CASE("Operators' requests become events and wait for their replies",
          "[operator_http]")
{
  // Guards against a reply that goes to another request, and against ids that collide
  // with those of the core.
  Fixture fixture;
  fixture.onEvent = [&](const Event& aEvent) {
    if (const auto* write = std::get_if<OperatorWrite>(&aEvent)) {
      fixture.operators->Execute({ WriteId{ write->write.value + 100 }, 500, "wrong" });
      fixture.operators->Execute({ write->write, 409, write->name });
    } else if (const auto* read = std::get_if<OperatorRead>(&aEvent)) {
      fixture.operators->Execute({ read->write, 200, "read" });
    }
  };
  const Got written =
    fixture.Call("POST", "/v1/resources", "dry_run=1",
                 R"({"kind":"team","name":"t","base":4,"spec":{"weight":2}})");
  CHECK(written.status == 409);
  CHECK(written.body == "t");
  const auto& write = std::get<OperatorWrite>(fixture.events.at(0));
  CHECK(write.write.value >= uint64_t{ 1 } << 32U);
  CHECK(write.base == 4);
  CHECK(write.spec == R"({"weight":2})");
  CHECK(write.isDryRun);

  CHECK(
    fixture.Call("GET", "/v1/resources", "kind=team&name=a%2eb&after=7&wait_ms=5").body ==
    "read");
  const auto& read = std::get<OperatorRead>(fixture.events.at(1));
  CHECK(read.name == "a.b");
  CHECK(read.after == 7);
  CHECK(read.wait == 5ms);
}

TEST_CASE("Malformed operators' requests get a typed error", "[operator_http]")
{
  // Guards against malformed input that reaches the core or ends the process.
  Fixture fixture;
  const auto [method, path, query, body, kind] =
    GENERATE(table<std::string, std::string, std::string, std::string, std::string>({
      { "POST", "/v1/resources", "", "{", "bad_request" },
      { "POST", "/v1/resources", "", "\xff", "bad_request" },
      { "POST", "/v1/resources", "", "[]", "bad_request" },
      { "POST", "/v1/resources", "", R"({"kind":"team","name":"t"})", "bad_request" },
      { "POST", "/v1/resources", "", R"({"kind":"team","spec":{}})", "bad_request" },
      { "POST", "/v1/resources", "", R"({"kind":"team","name":"t","spec":1})",
        "bad_request" },
      { "POST", "/v1/resources", "", R"({"kind":"team","name":"t","base":-1,"spec":{}})",
        "bad_request" },
      { "POST", "/v1/resources", "",
        R"({"kind":"team","name":"t","delete":true,"spec":{}})", "bad_request" },
      { "POST", "/v1/resources", "dry_run=2", R"({"kind":"t","name":"t","spec":{}})",
        "bad_request" },
      { "GET", "/v1/resources", "after=x", "", "bad_request" },
      { "DELETE", "/v1/resources", "", "", "method_not_allowed" },
      { "GET", "/v1/drain", "", "", "method_not_allowed" },
      { "POST", "/healthz", "", "", "method_not_allowed" },
      { "GET", "/v2", "", "", "route_not_found" },
    }));
  CAPTURE(path, query, body);
  const Got got = fixture.Call(method, path, query, body);
  CHECK(KindOf(got) == kind);
  CHECK(fixture.events.empty());
}

TEST_CASE("A request without a reply ends", "[operator_http]")
{
  // Guards against threads that wait for ever for the event loop.
  Fixture fixture(10ms);
  SECTION("the core does not reply to a write")
  {
    const Got got = fixture.Call("POST", "/v1/drain");
    CHECK(KindOf(got) == "write_unknown");
    // A late reply is dropped.
    const WriteId id = std::get<OperatorDrain>(fixture.events.at(0)).write;
    fixture.operators->Execute({ id, 200, "late" });
  }
  SECTION("the event loop does not run")
  {
    CHECK(KindOf(fixture.Send("GET", "/v1/status")) == "not_ready");
  }
}

TEST_CASE("A planned stop takes a time limit", "[operator_http]")
{
  // Guards against a mistyped limit that becomes a stop without one.
  const auto parse = [](const std::string& aBody) {
    return ParseOperatorCall({ .method = "POST", .path = "/v1/drain", .body = aBody }, {},
                             1s);
  };
  for (const char* body : { "", "{}" }) {
    CHECK_FALSE(std::get<OperatorDrain>(*parse(body)).within);
  }
  CHECK(std::get<OperatorDrain>(*parse(R"({"within_ms":0})")).within == 0ms);
  CHECK(std::get<OperatorDrain>(*parse(R"({"within_ms":1500})")).within == 1500ms);
  for (const char* body :
       { "x", "[]", R"({"within":1})", R"({"within_ms":-1})", R"({"within_ms":"1"})",
         R"({"within_ms":1.5})", R"({"within_ms":86400001})" }) {
    CAPTURE(body);
    CHECK(parse(body).error().kind == ErrorKind::BadRequest);
  }
}

TEST_CASE("A stop ends requests that wait", "[operator_http]")
{
  // Guards against a planned stop that is held up by a long poll.
  Fixture fixture(1h);
  auto arrived = kj::newPromiseAndFulfiller<void>();
  fixture.onEvent = [&](const Event&) { arrived.fulfiller->fulfill(); };
  Got got;
  std::thread caller([&] { got = fixture.Send("GET", "/v1/status"); });
  arrived.promise.wait(fixture.io.waitScope);
  fixture.operators.reset();
  caller.join();
  CHECK(got.status == 503);
}

TEST_CASE("Waiting calls leave threads for health checks", "[operator_http]")
{
  // Guards against a daemon that is taken out of service because many operators watch.
  Fixture fixture(1h);
  const size_t limit = OperatorHttpOptions{}.maxCalls;
  auto full = kj::newPromiseAndFulfiller<void>();
  fixture.onEvent = [&](const Event&) {
    if (fixture.events.size() == limit) {
      full.fulfiller->fulfill();
    }
  };
  std::vector<std::thread> callers;
  for (size_t i = 0; i < limit; ++i) {
    callers.emplace_back([&] { fixture.Send("GET", "/v1/status"); });
  }
  full.promise.wait(fixture.io.waitScope);
  CHECK(KindOf(fixture.Call("GET", "/v1/status")) == "overloaded");
  CHECK(fixture.Call("GET", "/healthz").status == 200);
  fixture.operators.reset();
  for (std::thread& caller : callers) {
    caller.join();
  }
}

TEST_CASE("The operators' client works with the operators' port", "[operator_http]")
{
  // Guards against a client and a server that differ about the protocol.
  Fixture fixture;
  fixture.onEvent = [&](const Event& aEvent) {
    const auto& write = std::get<OperatorWrite>(aEvent);
    fixture.operators->Execute(
      { write.write, 200, write.isDelete ? R"({"version":9})" : write.spec });
  };
  const std::string server = "127.0.0.1:" + std::to_string(fixture.port);
  ClientAnswer answer;
  ClientAnswer tooLarge;
  fixture.WhileLoopRuns([&] {
    answer = SendByHttp({ .server = server,
                          .isPost = true,
                          .target = "/v1/resources",
                          .body = R"({"kind":"team","name":"t","delete":true})",
                          .timeout = 1min });
    tooLarge = SendByHttp({ .server = server,
                            .isPost = true,
                            .target = "/v1/resources",
                            .body = std::string(1'048'577, ' '),
                            .timeout = 1min });
  });
  CHECK(answer.status == 200);
  CHECK(answer.body == R"({"version":9})");
  CHECK(tooLarge.status == 413);
  CHECK(fixture.events.size() == 1);
  fixture.operators.reset();
  fixture.WhileLoopRuns([&] {
    answer = SendByHttp({ .server = server, .target = "/v1/status", .timeout = 1min });
  });
  CHECK(answer.outcome == ClientAnswer::Outcome::NotSent);
}

TEST_CASE("An address in use is reported", "[operator_http]")
{
  // Guards against a daemon that runs without its operators' port.
  const Fixture fixture;
  CHECK_THROWS_AS(
    OperatorHttp({ .address = "127.0.0.1:" + std::to_string(fixture.port) }),
    std::runtime_error);
}
