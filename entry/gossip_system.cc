#include "entry/gossip_system.h"

#include <algorithm>
#include <utility>

namespace gooseberrypath::entry {

namespace {

// At the shortest interval, daemons act on figures that are about as old as a call takes
// to reach its engine.
constexpr Duration kMinInterval = std::chrono::milliseconds(100);

// Without news a digest is sent as a sign of life.
constexpr Duration kIdleInterval = std::chrono::milliseconds(500);

// Urgent digests of one daemon have at least this time between them.
constexpr Duration kUrgentInterval = std::chrono::milliseconds(20);

// Intervals differ by up to this share, so that the digests of daemons that started
// together do not come all at once.
constexpr double kIntervalSpread = 0.15;

// Usage goes to the holder of the duties, and addresses go into a digest, after this
// time.
constexpr Duration kFullInterval = std::chrono::milliseconds(500);

// Bytes a second that a daemon spends on digests. Beyond some forty daemons the figures
// of the others get older instead; docs/CAPACITY.md has the sizes.
constexpr double kBytesPerSecond = 60'000;

// A peer without a digest for this time, or for this many intervals, is counted as
// unheard: two sign-of-life intervals and a lost datagram.
constexpr Duration kUnheardAfter = std::chrono::milliseconds(1300);
constexpr int kUnheardIntervals = 3;

// A peer that stays unheard is forgotten: by then a restarted host is back.
constexpr Duration kForgetAfter = std::chrono::seconds(20);

// Peers are told of a removed backend for this time: by then each has read it itself.
constexpr Duration kTellRemoved = std::chrono::seconds(3);

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
constexpr size_t kToldPeers = 4;     // addresses in a full digest
constexpr size_t kHeadBytes = 130;   // of a digest without lists, with UDP and IP headers
constexpr uint64_t kToldWindows = 3; // of usage, before the current one

// Counts of windows outside this distance from the current one are not kept: no daemon
// sends such, and a forged datagram must not fill the memory.
constexpr uint64_t kMaxWindowDistance = 12;

// Addresses and daemons that are remembered, several times as many as a fleet has.
constexpr size_t kMaxPeers = 2000;

/// Returns the name under which the sender counts usage.
std::string ProcessOf(const PeerDigest& aDigest)
{
  return aDigest.daemon + "/" + std::to_string(aDigest.incarnation);
}

} // namespace

void GossipSystem::Start()
{
  for (const std::string& address : world_.options.seeds) {
    Learn(address);
  }
  world_.timers.SubscribeEvery(kCheckInterval, [this](TimePoint) { CheckSilence(); });
  world_.isDigestDue = true;
}

void GossipSystem::Run()
{
  if (world_.fleetDelta) {
    Send();
    return;
  }
  if (world_.peerAddresses.empty()) {
    return;
  }
  const TimePoint due = lastSent_ + SendPause();
  if (due <= world_.Now()) {
    Send();
    return;
  }
  const bool isWaiting = world_.isDigestDue || world_.isDigestUrgent;
  if (isWaiting && (!wakesAt_ || due < *wakesAt_)) {
    wakesAt_ = due;
    world_.timers.SubscribeAt(due, [this](TimePoint) { wakesAt_.reset(); });
  }
}

Duration GossipSystem::SendPause() const
{
  if (world_.isDigestUrgent) {
    return kUrgentInterval;
  }
  const Duration pause =
    world_.isDigestDue ? Interval() : std::max(Interval(), kIdleInterval);
  return std::chrono::duration_cast<Duration>(pause * spread_);
}

Duration GossipSystem::Interval() const
{
  const double bytes = static_cast<double>(lastSize_ * world_.peerAddresses.size());
  const auto spread = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(bytes / kBytesPerSecond));
  return std::max(kMinInterval, spread);
}

void GossipSystem::Send()
{
  const TimePoint now = world_.Now();
  const bool isFull = now - lastFull_ >= kFullInterval || sequence_ == 0;
  lastSent_ = now;
  spread_ = std::uniform_real_distribution<double>(1 - kIntervalSpread,
                                                   1 + kIntervalSpread)(world_.random);
  if (isFull) {
    lastFull_ = now;
  }
  world_.isDigestDue = false;
  world_.isDigestUrgent = false;
  SendDigest action{ .digest = MakeDigest(isFull) };
  action.digest.fleetDelta = std::exchange(world_.fleetDelta, std::nullopt);
  const std::string holder = isFull ? HolderAddress() : std::string();
  for (const auto& [address, learned] : world_.peerAddresses) {
    if (address != holder) {
      action.to.push_back(address);
    }
  }
  const PeerDigest& digest = action.digest;
  lastSize_ = kHeadBytes + 13 * digest.backends.size() + 12 * digest.teams.size() +
              24 * digest.peers.size() + 24 * digest.leaving.size();
  if (!holder.empty()) {
    SendDigest withUsage{ .to = { holder }, .digest = digest };
    // Counts of the last windows, because the newest digests may have been lost.
    const uint64_t window = world_.usage.WindowAt(world_.WallNow());
    withUsage.digest.usage =
      world_.usage.RowsOf(world_.ProcessName(), window - std::min(window, kToldWindows));
    world_.Emit(std::move(withUsage));
  }
  world_.Emit(std::move(action));
}

std::string GossipSystem::HolderAddress() const
{
  for (const auto& [host, peer] : world_.peers) {
    if (peer.digest.dutyToken != 0 && peer.isAlive) {
      return peer.address;
    }
  }
  return {};
}

PeerDigest GossipSystem::MakeDigest(bool aIsFull)
{
  PeerDigest digest{ .daemon = world_.options.host,
                     .incarnation = world_.options.incarnation,
                     .sequence = ++sequence_,
                     .isStopping = world_.stoppingSince.has_value(),
                     .canReachStore = world_.isStoreReachable,
                     .configVersion =
                       world_.configuration ? world_.configuration->version : 0,
                     .fleetOffset = world_.fleetOffset,
                     .dutyToken = world_.dutyToken,
                     .dutyRenewal = world_.dutyRenewal };
  for (const auto& [name, rate] : world_.demands) {
    digest.demands.push_back(
      { .service = DigestKey(name),
        .promptTokensPerSecond = static_cast<float>(rate.PerSecond(world_.Now())) });
  }
  for (const auto& [id, row] : world_.backends) {
    if (row.inFlight > 0) {
      digest.backends.push_back({ .backend = row.key,
                                  .inFlight = row.inFlight,
                                  .waitingTokens = row.waitingTokens,
                                  .kvTokens = row.kvTokens });
    }
    const bool isGone = row.removedAt && *row.removedAt + kTellRemoved > world_.Now();
    if (isGone || (row.entry.isLeaving && !row.removedAt)) {
      digest.leaving.push_back({ .id = id,
                                 .startedMs = row.entry.startedMs,
                                 .isRemoved = row.removedAt.has_value() });
    }
  }
  for (const auto& [name, row] : world_.teams) {
    if (row.quota.TotalAdmitted() > 0) {
      digest.teams.push_back(
        { .team = DigestKey(name),
          .admitted = static_cast<uint64_t>(std::max(row.quota.TotalAdmitted(), 0.0)) });
    }
  }
  if (aIsFull) {
    std::vector<std::string> known;
    for (const auto& [host, peer] : world_.peers) {
      if (peer.isAlive) {
        known.push_back(peer.address);
      }
    }
    std::ranges::sample(known, std::back_inserter(digest.peers), kToldPeers,
                        world_.random);
  }
  return digest;
}

void GossipSystem::Learn(const std::string& aAddress)
{
  const bool isRoom = world_.peerAddresses.size() < kMaxPeers;
  if (aAddress != world_.options.peerAddress && !aAddress.empty() && isRoom) {
    world_.peerAddresses.try_emplace(aAddress, world_.Now());
  }
}

void GossipSystem::Handle(const PeersListed& aEvent)
{
  for (const std::string& address : aEvent.addresses) {
    Learn(address);
  }
  world_.isDigestDue = true;
  UpdateShares();
}

void GossipSystem::Handle(const DigestReceived& aEvent)
{
  world_.counters.Add(EntryCounter::DigestsReceived);
  const PeerDigest& digest = aEvent.digest;
  if (digest.daemon == world_.options.host) {
    return; // a seed list may name this daemon itself
  }
  PeerRow* peer = world_.peers.Find(digest.daemon);
  if (peer != nullptr && std::pair(digest.incarnation, digest.sequence) <=
                           std::pair(peer->digest.incarnation, peer->digest.sequence)) {
    return; // overtaken by a newer one
  }
  if (peer == nullptr && world_.peers.Size() >= kMaxPeers) {
    return;
  }
  if (peer == nullptr) {
    peer = &world_.peers.Insert(digest.daemon, PeerRow{});
    world_.isDigestDue = true; // so that the peer learns of this daemon
  }
  if (!peer->isAlive) {
    world_.Log(LogLevel::Info, "peer_heard", {},
               { { "peer", digest.daemon }, { "address", aEvent.from } });
  }
  if (digest.fleetOffset > world_.fleetOffset) {
    world_.Emit(ReadFleet{ digest.fleetOffset });
  }
  if (world_.configuration && digest.configVersion > world_.configuration->version) {
    world_.Emit(ReadConfiguration{ digest.configVersion });
  }
  if (peer->digest.incarnation != digest.incarnation) {
    ForgetUse(*peer); // the totals of a new process start anew
  }
  TakeUse(*peer, digest);
  peer->address = aEvent.from;
  peer->digest = digest;
  peer->heard = world_.Now();
  peer->isAlive = true;
  Learn(aEvent.from);
  if (const auto known = world_.peerAddresses.find(aEvent.from);
      known != world_.peerAddresses.end()) {
    known->second = world_.Now();
  }
  for (const std::string& address : digest.peers) {
    Learn(address);
  }
  const std::string process = ProcessOf(digest);
  std::vector<UsageRow> usage = digest.usage;
  const uint64_t window = world_.usage.WindowAt(world_.WallNow());
  std::erase_if(usage, [&](const UsageRow& aRow) {
    return aRow.window + kMaxWindowDistance < window ||
           aRow.window > window + kMaxWindowDistance;
  });
  if (!digest.usage.empty()) {
    peer->lastUsageAt = world_.WallNow();
  }
  for (UsageRow& row : usage) {
    row.daemon = process;
  }
  world_.usage.Merge(usage);
  for (auto& [name, row] : world_.teams) {
    const uint32_t key = DigestKey(name);
    const auto use = std::ranges::find(digest.teams, key, &TeamUse::team);
    if (use != digest.teams.end()) {
      row.quota.ApplyPeerTotal(world_.Now(), process, static_cast<double>(use->admitted),
                               digest.incarnation < world_.options.incarnation);
    }
  }
}

void GossipSystem::TakeUse(PeerRow& aPeer, const PeerDigest& aDigest)
{
  const auto add = [&](const std::vector<BackendUse>& aUses, int64_t aSign) {
    for (const BackendUse& use : aUses) {
      TotalBackendUse& sum = world_.peerUse[use.backend];
      sum.inFlight += aSign * use.inFlight;
      sum.waitingTokens += aSign * use.waitingTokens;
      sum.kvTokens += aSign * use.kvTokens;
      if (sum.inFlight == 0) {
        world_.peerUse.erase(use.backend);
      }
    }
  };
  if (aPeer.isAlive) {
    add(aPeer.digest.backends, -1);
  }
  add(aDigest.backends, 1);
}

void GossipSystem::ForgetUse(const PeerRow& aPeer)
{
  const std::string process = ProcessOf(aPeer.digest);
  for (auto& [name, team] : world_.teams) {
    team.quota.ForgetPeer(process);
  }
}

void GossipSystem::CheckSilence()
{
  const TimePoint now = world_.Now();
  const Duration unheardAfter = std::max(kUnheardAfter, kUnheardIntervals * Interval());
  std::vector<std::string> forgotten;
  for (auto& [host, peer] : world_.peers) {
    if (peer.isAlive && peer.heard + unheardAfter <= now) {
      TakeUse(peer, PeerDigest{});
      peer.isAlive = false;
      ForgetUse(peer);
      peer.digest.backends.clear();
      world_.Log(LogLevel::Warning, "peer_unheard", {}, { { "peer", host } });
    }
    if (peer.heard + kForgetAfter <= now) {
      forgotten.push_back(host);
    }
  }
  for (const std::string& host : forgotten) {
    world_.peers.Erase(host);
  }
  std::erase_if(world_.peerAddresses,
                [&](const auto& aItem) { return aItem.second + kForgetAfter <= now; });
  for (const std::string& address : world_.options.seeds) {
    Learn(address); // daemons that were cut off meet again through the seeds
  }
  UpdateShares();
}

void GossipSystem::UpdateShares()
{
  size_t heard = 1;
  size_t serving = 1;
  std::vector<Duration> ages;
  for (const auto& [host, peer] : world_.peers) {
    const bool counts = !peer.digest.isStopping;
    heard += counts && peer.isAlive ? 1 : 0;
    if (counts) {
      ages.push_back(world_.Now() - peer.heard);
    }
    serving += counts ? 1 : 0;
  }
  serving = std::max(serving, world_.DaemonCount());
  if (heard != toldReaders_) {
    toldReaders_ = heard;
    world_.Emit(SetReaderCount{ heard });
  }
  // Without news a digest still comes as a sign of life.
  const double fresh = 1 + EstimateLivePeers(ages, std::max(Interval(), kIdleInterval));
  world_.digestInterval = Interval();
  for (auto& [name, row] : world_.teams) {
    row.quota.SetDaemonCount(serving);
    row.quota.SetDigestInterval(world_.digestInterval);
    row.quota.SetLiveShare(world_.Now(), fresh / static_cast<double>(serving));
  }
}

} // namespace gooseberrypath::entry
