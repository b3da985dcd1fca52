#include "entry/testing/simulated_store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

#include <kj/debug.h>
#include <kj/encoding.h>
#include <nlohmann/json.hpp>

#include "gooseberrypath/http_io.h"

namespace gooseberrypath::entry {

namespace {

using namespace std::chrono_literals;

constexpr Duration kAnswerTime = 4ms;
constexpr Duration kLateTime = 1s;
constexpr size_t kReadSize = 4096;
constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string BigEndian(uint64_t aValue, size_t aBytes)
{
  std::string text;
  for (size_t i = aBytes; i > 0; --i) {
    text += static_cast<char>(aValue >> (8 * (i - 1)) & 0xffU);
  }
  return text;
}

std::string ResponseOf(int aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\nStore-Era: 1\r\n" +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Returns the size of the body that follows a head.
size_t BodySizeIn(std::string_view aReceived)
{
  static constexpr std::string_view kLength = "Content-Length: ";
  const std::string_view head = aReceived.substr(0, aReceived.find(kHeadEnd));
  const size_t field = head.find(kLength);
  return field == std::string_view::npos
           ? 0
           : std::strtoull(head.data() + field + kLength.size(), nullptr, 10);
}

std::map<std::string, std::string> ParseQuery(std::string_view aText)
{
  std::map<std::string, std::string> query;
  while (!aText.empty()) {
    const std::string_view one = aText.substr(0, aText.find('&'));
    aText.remove_prefix(std::min(aText.size(), one.size() + 1));
    const size_t equals = std::min(one.find('='), one.size());
    query[std::string(one.substr(0, equals))] =
      std::string(one.substr(std::min(one.size(), equals + 1)));
  }
  return query;
}

} // namespace

std::string_view NameOf(OutageForm aForm)
{
  static constexpr std::array<std::string_view, kOutageForms.size()> kNames = {
    "silent",      "mute",        "refused",           "reset", "half a head",
    "half a body", "unavailable", "too many requests", "late",  "endless snapshot",
  };
  return kNames.at(static_cast<size_t>(aForm));
}

struct SimulatedStore::Connection
{
  kj::Own<kj::AsyncIoStream> stream;
  size_t daemon = 0;
  Duration openedAt{};
  std::string received{};
  std::array<char, kReadSize> chunk{};
};

/// The network of one daemon.
class SimulatedStore::Network final : public kj::Network
{
public:
  Network(SimulatedStore& aStore, size_t aDaemon)
    : store_(aStore)
    , daemon_(aDaemon)
  {
  }

  kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(kj::StringPtr, kj::uint) override
  {
    return kj::Own<kj::NetworkAddress>(kj::heap<Address>(store_, daemon_));
  }

  kj::Own<kj::NetworkAddress> getSockaddr(const void*, kj::uint) override
  {
    return kj::heap<Address>(store_, daemon_);
  }

  kj::Own<kj::Network> restrictPeers(kj::ArrayPtr<const kj::StringPtr>,
                                     kj::ArrayPtr<const kj::StringPtr>) override
  {
    KJ_FAIL_REQUIRE("networks of the simulated store have no other peers");
  }

private:
  class Address final : public kj::NetworkAddress
  {
  public:
    Address(SimulatedStore& aStore, size_t aDaemon)
      : store_(aStore)
      , daemon_(aDaemon)
    {
    }

    kj::Promise<kj::Own<kj::AsyncIoStream>> connect() override
    {
      return kj::evalNow([this] { return store_.Connect(daemon_); });
    }

    kj::Own<kj::ConnectionReceiver> listen() override
    {
      kj::throwFatalException(KJ_EXCEPTION(UNIMPLEMENTED, "daemons do not listen here"));
    }

    kj::Own<kj::NetworkAddress> clone() override
    {
      return kj::heap<Address>(store_, daemon_);
    }

    kj::String toString() override { return kj::str("simulated store"); }

  private:
    SimulatedStore& store_;
    size_t daemon_;
  };

  SimulatedStore& store_;
  size_t daemon_;
};

SimulatedStore::SimulatedStore(kj::TimerImpl& aTimer)
  : timer_(aTimer)
  , start_(aTimer.now())
  , tasks_(errors_)
{
}

SimulatedStore::~SimulatedStore() = default;

kj::Network& SimulatedStore::NetworkOf(size_t aDaemon)
{
  std::unique_ptr<Network>& network = networks_[aDaemon];
  if (!network) {
    network = std::make_unique<Network>(*this, aDaemon);
  }
  return *network;
}

Duration SimulatedStore::Now() const
{
  return Duration((timer_.now() - start_) / kj::MICROSECONDS);
}

const Outage* SimulatedStore::OutageOf(size_t aDaemon) const
{
  const auto found = std::ranges::find_if(outages_, [&](const Outage& aOutage) {
    return aOutage.from <= Now() && Now() < aOutage.to &&
           aOutage.daemon.value_or(aDaemon) == aDaemon;
  });
  return found == outages_.end() ? nullptr : &*found;
}

bool SimulatedStore::IsMute(const Connection& aConnection) const
{
  return std::ranges::any_of(outages_, [&](const Outage& aOutage) {
    return aOutage.form == OutageForm::Mute && aOutage.from <= Now() &&
           aConnection.openedAt < aOutage.to &&
           aOutage.daemon.value_or(aConnection.daemon) == aConnection.daemon;
  });
}

kj::Own<kj::AsyncIoStream> SimulatedStore::Connect(size_t aDaemon)
{
  const Outage* outage = OutageOf(aDaemon);
  KJ_REQUIRE(outage == nullptr || outage->form != OutageForm::Refused, "refused");
  kj::TwoWayPipe pipe = kj::newTwoWayPipe();
  auto connection = kj::heap<Connection>(
    Connection{ .stream = kj::mv(pipe.ends[0]), .daemon = aDaemon, .openedAt = Now() });
  auto served = Serve(*connection).catch_([](kj::Exception&& aError) {
    KJ_REQUIRE(aError.getType() == kj::Exception::Type::DISCONNECTED, aError);
  });
  tasks_.add(served.attach(kj::mv(connection)));
  return kj::mv(pipe.ends[1]);
}

kj::Promise<void> SimulatedStore::Serve(Connection& aConnection)
{
  const size_t end = aConnection.received.find(kHeadEnd);
  const size_t size = end == std::string::npos
                        ? end
                        : end + kHeadEnd.size() + BodySizeIn(aConnection.received);
  if (size > aConnection.received.size()) {
    return aConnection.stream->tryRead(aConnection.chunk.data(), 1, kReadSize)
      .then([this, &aConnection](size_t aSize) -> kj::Promise<void> {
        aConnection.received.append(aConnection.chunk.data(), aSize);
        return aSize == 0 ? kj::Promise<void>(kj::READY_NOW) : Serve(aConnection);
      });
  }
  const std::string head = aConnection.received.substr(0, end);
  aConnection.received.erase(0, size);
  const size_t from = head.find(' ') + 1;
  const std::string target = head.substr(from, head.find(' ', from) - from);
  const size_t question = std::min(target.find('?'), target.size());
  StoreCall call{ .path = target.substr(0, question),
                  .query = ParseQuery(std::string_view(target).substr(
                    std::min(target.size(), question + 1))) };
  calls_.push_back({ Now(), call.query["topic"] });
  return Answer(aConnection, call).then([this, &aConnection] {
    return Serve(aConnection);
  });
}

kj::Promise<void> SimulatedStore::Answer(Connection& aConnection, const StoreCall& aCall)
{
  if (IsMute(aConnection)) {
    return kj::NEVER_DONE;
  }
  if (const Outage* outage = OutageOf(aConnection.daemon)) {
    return AnswerInOutage(aConnection, aCall, outage->form);
  }
  if (aCall.path.ends_with("log-append")) {
    return Write(aConnection, ResponseOf(200, R"({"offset":0,"end":1})"));
  }
  return WaitForRecord(aConnection, aCall).then([this, &aConnection, call = aCall] {
    return Write(aConnection, ResponseOf(200, BodyOf(call)));
  });
}

kj::Promise<void> SimulatedStore::AnswerInOutage(Connection& aConnection,
                                                 const StoreCall& aCall, OutageForm aForm)
{
  switch (aForm) {
    case OutageForm::Silent:
    case OutageForm::Mute:
      return kj::NEVER_DONE;
    case OutageForm::Refused:
    case OutageForm::Reset:
      return KJ_EXCEPTION(DISCONNECTED, "reset");
    case OutageForm::HalfHead:
      return Write(aConnection, "HTTP/1.1 200 Sta").then([]() -> kj::Promise<void> {
        return kj::NEVER_DONE;
      });
    case OutageForm::HalfBody: {
      const std::string response = ResponseOf(200, BodyOf(aCall) + "more");
      return Write(aConnection, response.substr(0, response.size() - 4))
        .then([]() -> kj::Promise<void> { return kj::NEVER_DONE; });
    }
    case OutageForm::Unavailable:
      return Write(aConnection, ResponseOf(503, ""));
    case OutageForm::TooManyRequests:
      return Write(aConnection, ResponseOf(429, ""));
    case OutageForm::Late:
      return timer_.afterDelay(ToKj(kLateTime)).then([this, &aConnection, call = aCall] {
        return WaitForRecord(aConnection, call).then([this, &aConnection, call] {
          return Write(aConnection, ResponseOf(200, BodyOf(call)));
        });
      });
    case OutageForm::EndlessSnapshot:
      if (aCall.query.contains("after")) {
        return kj::NEVER_DONE;
      }
      if (aCall.path.ends_with("log-newest")) {
        return Write(aConnection, ResponseOf(200, R"({"end":1,"has_more":true,"items":[)"
                                                  R"({"key":"a","value":"dg=="}]})"));
      }
      return Write(aConnection, ResponseOf(410, R"({"first":1})"));
  }
  KJ_UNREACHABLE;
}

kj::Promise<void> SimulatedStore::WaitForRecord(const Connection& aConnection,
                                                const StoreCall& aCall)
{
  const auto wait = aCall.query.find("wait_ms");
  const auto from = aCall.query.find("from");
  Topic& topic = topics_[aCall.query.at("topic")];
  const auto hasRecord = [&topic, from, &aCall] {
    return from != aCall.query.end() &&
           std::strtoull(from->second.c_str(), nullptr, 10) < topic.records.size();
  };
  if (wait == aCall.query.end() || hasRecord()) {
    return kj::READY_NOW;
  }
  auto record = kj::newPromiseAndFulfiller<void>();
  topic.waiting.push_back(kj::mv(record.fulfiller));
  const auto end = std::strtoll(wait->second.c_str(), nullptr, 10) * kj::MILLISECONDS;
  return record.promise.exclusiveJoin(timer_.afterDelay(end))
    .then([this, &aConnection]() -> kj::Promise<void> {
      if (IsMute(aConnection)) {
        return kj::NEVER_DONE;
      }
      const Outage* outage = OutageOf(aConnection.daemon);
      const Duration left = outage == nullptr ? 0ms : outage->to - Now();
      return timer_.afterDelay(ToKj(left));
    });
}

std::string SimulatedStore::BodyOf(const StoreCall& aCall)
{
  const Topic& topic = topics_[aCall.query.at("topic")];
  if (aCall.path.ends_with("log-newest")) {
    return SnapshotOf(topic);
  }
  std::string body = BigEndian(topic.records.size(), 8) + BigEndian(0, 8);
  const size_t from = std::strtoull(aCall.query.at("from").c_str(), nullptr, 10);
  for (size_t i = from; i < topic.records.size(); ++i) {
    const Record& record = topic.records[i];
    const std::string content =
      static_cast<char>(record.key.size()) + record.key + record.value;
    body += BigEndian(content.size(), 4) + content;
  }
  return body;
}

std::string SimulatedStore::SnapshotOf(const Topic& aTopic) const
{
  std::map<std::string, std::string> newest;
  for (const Record& record : aTopic.records) {
    newest[record.key] = record.value;
  }
  auto items = nlohmann::json::array();
  for (const auto& [key, value] : newest) {
    const kj::StringPtr text(value.c_str(), value.size());
    items.push_back(
      { { "key", key }, { "value", kj::encodeBase64(text.asBytes()).cStr() } });
  }
  return nlohmann::json{ { "end", aTopic.records.size() }, { "items", items } }.dump();
}

kj::Promise<void> SimulatedStore::Write(Connection& aConnection, std::string aBytes)
{
  return timer_.afterDelay(ToKj(kAnswerTime))
    .then([&aConnection, bytes = std::move(aBytes)]() mutable {
      auto text = kj::heap<std::string>(std::move(bytes));
      auto written = aConnection.stream->write(text->data(), text->size());
      return written.attach(kj::mv(text));
    });
}

void SimulatedStore::Write(const std::string& aTopic, const std::string& aKey,
                           const std::string& aValue)
{
  Topic& topic = topics_[aTopic];
  topic.records.push_back({ aKey, aValue });
  for (auto& waiting : std::exchange(topic.waiting, {})) {
    waiting->fulfill();
  }
}

std::map<std::string, size_t> SimulatedStore::CallsSince(Duration aTime) const
{
  std::map<std::string, size_t> counts;
  for (const CountedCall& call : calls_) {
    if (call.at >= aTime) {
      ++counts[call.topic];
    }
  }
  return counts;
}

} // namespace gooseberrypath::entry
