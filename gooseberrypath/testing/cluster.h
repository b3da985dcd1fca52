// Several daemons without callers, on virtual time, with fakes of the log and the peers.

#ifndef GOOSEBERRYPATH_TESTING_CLUSTER_H_
#define GOOSEBERRYPATH_TESTING_CLUSTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "gooseberrypath/backend_system.h"
#include "gooseberrypath/config_snapshots.h"
#include "gooseberrypath/config_system.h"
#include "gooseberrypath/core.h"
#include "gooseberrypath/membership_system.h"
#include "gooseberrypath/records.h"

namespace gooseberrypath::testing {

/// Stands for the claim and job systems: their streams are empty and read, and tests
/// reach the world.
class ActionsRead
{
public:
  explicit ActionsRead(World& aWorld)
    : world_(aWorld)
  {
  }
  void Start()
  {
    world_.streams[std::string(kActionStream)].contacted = true;
    world_.streams[std::string(kJobStream)].contacted = true;
  }
  void Run() {}
  void Handle(const CallerRequest& aEvent) { world_.requests.Insert(aEvent.request, {}); }
  void Handle(const CallerGone& aEvent) { world_.requests.Erase(aEvent.request); }
  /// Makes an attempt row on the backend that the claim names.
  void Handle(const ClaimAsked& aEvent)
  {
    AttemptRow row;
    row.backend = aEvent.claim;
    world_.attempts.Insert(AttemptId{ aEvent.question.value }, row);
  }

private:
  World& world_;
};

using TestCore =
  BasicCore<World, ConfigSystem, MembershipSystem, BackendSystem, ActionsRead>;

/// The platform's log with one stream.
struct LogFake
{
  std::vector<LogEntry> entries;
  Offset start = 1;        // older records were removed
  bool isDown = false;     // neither reads nor appends are answered
  bool isReadDown = false; // reads are not answered
  int lostAnswers = 0;     // appends that are stored without an answer
  int refusals = 0;        // appends that are refused
  size_t appends = 0;      // requests, also lost ones

  void Store(const Record& aRecord) { StoreText(EncodeRecord(aRecord)); }
  void StoreText(std::string aData)
  {
    entries.push_back({ entries.size() + 1, 1'000 * int64_t(entries.size()), aData });
  }
  LogBatch Read(Offset aFrom) const
  {
    LogBatch batch{ std::string(kConfigStream), start, entries.size() + 1, {} };
    const Offset from = std::max(aFrom, start);
    batch.entries.assign(entries.begin() + long(std::min(from - 1, entries.size())),
                         entries.end());
    return batch;
  }
};

/// One daemon.
struct Node
{
  std::unique_ptr<TestCore> core;
  bool isPaused = false;
  bool isCut = false; // no peer reaches it and it reaches no peer
  std::deque<Event> queue;
  std::vector<OperatorReply> replies;
  std::vector<std::vector<std::string>> watched;
  int exits = 0;

  const World& GetWorld() const { return core->GetWorld(); }
};

/// Daemons with the peer addresses 10.0.0.1:7000, 10.0.0.2:7000 and so on.
struct Cluster
{
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  explicit Cluster(size_t aDaemons, uint64_t aSeed = 1, CoreOptions aOptions = {})
  {
    for (size_t i = 0; i < aDaemons; ++i) {
      CoreOptions options = aOptions;
      options.daemon = "d" + std::to_string(i);
      options.peerAddress = Address(i);
      options.seedPeers = { Address(0), Address(aDaemons / 2) };
      options.seed = aSeed * 1000 + i;
      options.incarnation = 1'000 + i;
      indexes[Address(i)] = i;
      nodes.push_back(Node{});
      nodes.back().core = std::make_unique<TestCore>(options, now);
    }
  }

  static std::string Address(size_t aIndex)
  {
    return "10.0." + std::to_string(aIndex / 200) + "." +
           std::to_string(aIndex % 200 + 1) + ":7000";
  }

  /// Replaces a daemon by a new process with the same name.
  void Restart(size_t aNode)
  {
    CoreOptions options = nodes[aNode].GetWorld().options;
    options.incarnation += 1'000'000;
    nodes[aNode] = Node{};
    nodes[aNode].core = std::make_unique<TestCore>(options, now);
  }

  Node* FindByAddress(const std::string& aAddress)
  {
    const auto found = indexes.find(aAddress);
    return found == indexes.end() ? nullptr : &nodes[found->second];
  }

  /// Advances by one step: a log read and a tick on each daemon that is not paused.
  void Step()
  {
    now += step;
    for (Node& node : nodes) {
      if (node.isPaused) {
        continue;
      }
      if (!log.isDown && !log.isReadDown) {
        const auto found = node.GetWorld().streams.find(kConfigStream);
        const bool isNew = found == node.GetWorld().streams.end();
        node.queue.push_back(log.Read(isNew ? 1 : found->second.next));
      }
      for (const Event& event : std::exchange(node.queue, {})) {
        node.core->Handle(event);
        Tick(node);
      }
      Tick(node);
    }
  }

  void Run(Duration aTime)
  {
    for (const TimePoint end = now + aTime; now < end;) {
      Step();
    }
  }

  void Tick(Node& aNode)
  {
    do {
      aNode.core->Tick(now);
      for (Action& action : aNode.core->TakeActions()) {
        Execute(aNode, action);
      }
    } while (aNode.core->NextDue() && *aNode.core->NextDue() <= now);
  }

  void Execute(Node& aNode, Action& aAction)
  {
    if (auto* append = std::get_if<AppendRecord>(&aAction)) {
      ++log.appends;
      if (log.isDown) {
        return;
      }
      if (log.refusals > 0) {
        --log.refusals;
        aNode.queue.push_back(AppendFailed{ append->append, false, "429" });
        return;
      }
      log.StoreText(append->data);
      if (log.lostAnswers > 0) {
        --log.lostAnswers;
        return;
      }
      aNode.queue.push_back(AppendDone{ append->append, log.entries.size() });
    } else if (auto* gossip = std::get_if<SendGossip>(&aAction)) {
      Node* peer = FindByAddress(gossip->address);
      if (onGossip) {
        onGossip(*gossip);
      }
      if (peer == nullptr || peer->isCut || aNode.isCut) {
        aNode.queue.push_back(GossipFailed{ gossip->address });
      } else {
        peer->queue.push_back(GossipReceived{ gossip->message });
      }
    } else if (auto* ask = std::get_if<AskSnapshot>(&aAction)) {
      const Node* peer = FindByAddress(ask->address);
      if (peer != nullptr && !peer->isCut && !peer->isPaused && !aNode.isCut) {
        aNode.queue.push_back(
          SnapshotReceived{ ask->address, EncodeSnapshot(peer->GetWorld()) });
      }
    } else if (auto* reply = std::get_if<OperatorReply>(&aAction)) {
      aNode.replies.push_back(*reply);
    } else if (auto* watch = std::get_if<WatchLoads>(&aAction)) {
      aNode.watched.push_back(watch->addresses);
    } else if (std::holds_alternative<ExitProcess>(aAction)) {
      ++aNode.exits;
    }
  }

  void Post(size_t aNode, Event aEvent)
  {
    nodes[aNode].queue.push_back(std::move(aEvent));
  }
  void PostToAll(const Event& aEvent)
  {
    for (size_t i = 0; i < nodes.size(); ++i) {
      Post(i, aEvent);
    }
  }

  /// Returns the body of the last operator reply of this daemon.
  nlohmann::json LastReply(size_t aNode) const
  {
    return nlohmann::json::parse(nodes[aNode].replies.back().body);
  }

  TimePoint now{};
  LogFake log;
  std::vector<Node> nodes;
  Duration step = kStep;
  std::function<void(const SendGossip&)> onGossip;
  std::map<std::string, size_t> indexes; // address to index in nodes
};

/// A service with backends b0, b1 and so on, which are their own hosts.
inline std::string ServiceJson(size_t aBackends)
{
  nlohmann::json backends = nlohmann::json::array();
  for (size_t i = 0; i < aBackends; ++i) {
    backends.push_back({ { "name", "b" + std::to_string(i) },
                         { "address", "10.1.0." + std::to_string(i + 1) + ":80" },
                         { "host", "h" + std::to_string(i) } });
  }
  return nlohmann::json{ { "backends", backends } }.dump();
}

} // namespace gooseberrypath::testing

#endif // GOOSEBERRYPATH_TESTING_CLUSTER_H_
