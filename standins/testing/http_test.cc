// The HTTP parts of the stand-ins over loopback connections.

#include <catch2/catch.hpp>

#include "standins/engine_http.h"
#include "standins/http_service.h"
#include "standins/log_http.h"
#include "standins/service_http.h"

using namespace gooseberrypath;
using namespace gooseberrypath::standins;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

struct Response
{
  uint32_t status = 0;
  bool complete = false; // the body ended properly
  std::string text;
};

/// A stand-in behind a listening port and clients for it.
template<typename S>
class Fixture
{
public:
  template<typename... Arguments>
  explicit Fixture(const Arguments&... aArguments)
    : standin_(aArguments..., io_.provider->getTimer())
    , receiver_(Address("127.0.0.1:0")->listen())
    , server_(standin_, io_.provider->getTimer(), *receiver_)
    , serving_(server_.Run().eagerlyEvaluate(nullptr))
  {
  }

  /// Sends a request on a new connection.
  kj::Promise<Response> Start(kj::HttpMethod aMethod, const std::string& aTarget,
                              const std::string& aBody = "", const std::string& aKey = "")
  {
    auto stream = Address("127.0.0.1:" + std::to_string(receiver_->getPort()))
                    ->connect()
                    .wait(io_.waitScope);
    auto client = kj::newHttpClient(table_, *stream);
    kj::HttpHeaders headers(table_);
    if (!aKey.empty()) {
      headers.add("Idempotency-Key", aKey.c_str());
    }
    auto request = client->request(aMethod, aTarget.c_str(), headers, aBody.size());
    if (!aBody.empty()) {
      request.body->write(aBody.data(), aBody.size()).wait(io_.waitScope);
    }
    request.body = nullptr;
    auto result = kj::heap<Response>();
    return request.response
      .then([&out = *result](kj::HttpClient::Response&& aResponse) {
        out.status = aResponse.statusCode;
        return Read(out, kj::mv(aResponse.body));
      })
      .then([&out = *result] { out.complete = true; }, [](kj::Exception&&) {})
      .then([&out = *result] { return std::move(out); })
      .attach(kj::mv(result))
      .attach(kj::mv(client))
      .attach(kj::mv(stream))
      .eagerlyEvaluate(nullptr);
  }

  Response Ask(kj::HttpMethod aMethod, const std::string& aTarget,
               const std::string& aBody = "", const std::string& aKey = "")
  {
    return Start(aMethod, aTarget, aBody, aKey).wait(io_.waitScope);
  }

  json Stats() { return json::parse(Ask(kj::HttpMethod::GET, "/stats").text); }

  void Control(const json& aControl)
  {
    CHECK(Ask(kj::HttpMethod::POST, "/control", aControl.dump()).status == 200);
  }

  kj::WaitScope& Scope() { return io_.waitScope; }

private:
  /// Reads piece by piece, so that the text before a cut is kept.
  static kj::Promise<void> Read(Response& aOut, kj::Own<kj::AsyncInputStream> aBody)
  {
    constexpr size_t kPiece = 4096;
    auto piece = kj::heapArray<char>(kPiece);
    auto& body = *aBody;
    return body.tryRead(piece.begin(), 1, piece.size())
      .then([&aOut, piece = kj::mv(piece),
             own = kj::mv(aBody)](size_t aCount) mutable -> kj::Promise<void> {
        aOut.text.append(piece.begin(), aCount);
        return aCount == 0 ? kj::Promise<void>(kj::READY_NOW) : Read(aOut, kj::mv(own));
      });
  }

  kj::Own<kj::NetworkAddress> Address(const std::string& aText)
  {
    return io_.provider->getNetwork().parseAddress(aText.c_str()).wait(io_.waitScope);
  }

  kj::AsyncIoContext io_ = kj::setupAsyncIo();
  kj::HttpHeaderTable table_;
  S standin_;
  kj::Own<kj::ConnectionReceiver> receiver_;
  StandinServer<S> server_;
  kj::Promise<void> serving_;
};

constexpr auto kGet = kj::HttpMethod::GET;
constexpr auto kPost = kj::HttpMethod::POST;
const EngineOptions kFast{ .prefillPerToken = 1us, .decodeInterval = 100us };
const std::string kChat = R"({"request_id":"a","stream":true,"model":"m",)"
                          R"("messages":[{"role":"user","content":"hi tokens=9"}]})";

/// Returns the content of the chunks with this id and appends their offsets.
std::string ContentOf(const std::string& aEvents, const std::string& aId,
                      std::vector<uint64_t>& aOffsets)
{
  std::istringstream in(aEvents);
  std::string text;
  for (std::string line; std::getline(in, line);) {
    if (!line.starts_with("data: {")) {
      continue;
    }
    const json chunk = json::parse(line.substr(line.find('{')));
    const json& delta = chunk["choices"][0]["delta"];
    if (chunk["id"] == aId && delta.contains("content")) {
      text += delta["content"];
      aOffsets.push_back(chunk["token_offset"]);
    }
  }
  return text;
}

} // namespace

TEST_CASE("An engine streams its answer as events", "[standins][http]")
{
  // Guards against chunks that a client of the published format cannot use, and against
  // foreign chunks that replace tokens.
  Fixture<EngineHttp> engine(kFast);
  engine.Control({ { "cross_every", 2 } });
  const Response response = engine.Ask(kPost, "/v1/chat/completions", kChat);
  CHECK(response.status == 200);
  CHECK(response.complete);
  CHECK(response.text.ends_with("data: [DONE]\n\n"));
  std::vector<uint64_t> offsets;
  CHECK(ContentOf(response.text, "chatcmpl-a", offsets) ==
        ExpectedAnswer(ParseChatCall(kChat).value()));
  CHECK(offsets == std::vector<uint64_t>{ 0, 1, 2, 3, 4, 5, 6, 7, 8 });
  std::vector<uint64_t> foreign;
  ContentOf(response.text, "chatcmpl-crossed", foreign);
  CHECK(foreign.size() == 4);
}

TEST_CASE("An engine cuts the connection after N tokens", "[standins][http]")
{
  // Guards against a cut that looks like the proper end of the body.
  Fixture<EngineHttp> engine(kFast);
  engine.Control({ { "break_after", 3 } });
  const Response response = engine.Ask(kPost, "/v1/chat/completions", kChat);
  CHECK(response.status == 200);
  CHECK_FALSE(response.complete);
  std::vector<uint64_t> offsets;
  ContentOf(response.text, "chatcmpl-a", offsets);
  CHECK(offsets.size() == 3);
  CHECK(engine.Ask(kPost, "/v1/chat/completions", kChat).complete);
}

TEST_CASE("An engine frees the sequence of a client that closed", "[standins][http]")
{
  // Guards against sequences that run on; kj alone notices only a reset.
  Fixture<EngineHttp> engine(EngineOptions{ .prefillPerToken = 1h });
  {
    auto running = engine.Start(kPost, "/v1/chat/completions", kChat);
    while (engine.Stats()["running"] == 0) {
    }
  }
  while (engine.Stats()["running"] != 0) {
  }
  CHECK(engine.Stats()["cancelled"] == 1);
}

TEST_CASE("A service counts a run whose answer was delayed or cut", "[standins][http]")
{
  // Guards against a lost count, and against a callback that kj keeps by reference.
  Fixture<ServiceHttp> service(ServiceOptions{}, Duration(1ms));
  CHECK(service.Ask(kPost, "/pickups", "{}", "k").status == 200);
  service.Control({ { "break_after", 1 } });
  CHECK(service.Ask(kPost, "/pickups", "{}", "k").status == 0);
  CHECK(service.Stats()["runs"]["k"] == 2);
  service.Control({ { "break_before_run", true } });
  CHECK(service.Ask(kPost, "/pickups", "{}", "k").status == 0);
  CHECK(service.Stats() == json{ { "runs", { { "k", 2 } } }, { "requests", 3 } });
}

TEST_CASE("A waiting read of the log ends with the append", "[standins][http]")
{
  // Guards against long polls that miss an append, also one whose answer is lost.
  Fixture<LogHttp> log(LogOptions{});
  auto read = log.Start(kGet, "/streams/s/records?from=1&wait_ms=60000");
  log.Control({ { "lose_append_answers", 1 } });
  CHECK(log.Ask(kPost, "/streams/s/records", R"({"n":1})").status == 0);
  const json page = json::parse(read.wait(log.Scope()).text);
  CHECK(page["head"] == 2);
  CHECK(page["records"][0]["data"]["n"] == 1);
}

TEST_CASE("Outages end waiting reads and control is still possible", "[standins][http]")
{
  // Guards against a fault that cannot be switched off and reads that outlast an outage.
  Fixture<LogHttp> log(LogOptions{});
  auto read = log.Start(kGet, "/streams/s/records?wait_ms=60000");
  log.Control({ { "outage", true } });
  CHECK(read.wait(log.Scope()).status == 503);
  log.Control({ { "outage", false }, { "cut", true } });
  CHECK(log.Ask(kGet, "/streams/s/records").status == 0);
  log.Control({ { "cut", false } });
  CHECK(log.Ask(kGet, "/streams/s/records").status == 200);
  CHECK(log.Ask(kPost, "/control", "[]").status == 400);
  CHECK(log.Ask(kPost, "/control", R"({"cut":7})").status == 400);
}
