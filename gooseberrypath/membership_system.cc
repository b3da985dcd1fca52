#include "gooseberrypath/membership_system.h"

#include <algorithm>
#include <bit>
#include <map>
#include <utility>

#include <xxhash.h>

#include "gooseberrypath/address.h"
#include "gooseberrypath/backend_system.h"

namespace gooseberrypath {

namespace {

constexpr std::string_view kPart = "membership";
constexpr size_t kMaxName = 64;
constexpr int kRemoveAfter = 10;  // suspicion times without news
constexpr int kNewsLifetime = 10; // suspicion times on the regular messages
constexpr size_t kNewsPeers = 3;  // that get news of hosts at once

constexpr size_t kProbeInterval = 4; // one message in so many goes to a silent peer

// A daemon of the target scale (380) may send and receive 25 KB/s in total. Each change
// of a row is sent kCopies times by each daemon that learns of it, which leaves e^-6
// (0.25%) of the daemons without it until the next heartbeat.
constexpr uint32_t kCopies = 6;
// 1 heartbeat per 12 ms from all daemons together: 83 rows/s * 16 bytes * kCopies is
// 8 KB/s in each direction.
constexpr Duration kBeatSpacing = std::chrono::milliseconds(12);
// Heartbeats that may be missed in a row. With a loss of 0.25% each, fewer than 4 would
// lead to a false suspicion among 380 daemons about every half hour.
constexpr int kMissedBeats = 4;
constexpr size_t kFewDaemons = 8;
// At 4 messages per second in each direction, 160 rows of 16 bytes are 10 KB/s.
constexpr size_t kMaxBeats = 160;
constexpr size_t kWordBits = 64;
// A whole row has about 90 bytes.
constexpr size_t kMaxRows = 40;
constexpr size_t kMaxNews = 16; // on a regular message
// The count that a peer told is replaced by a smaller one after this time.
constexpr Duration kCountLifetime = std::chrono::seconds(60);

} // namespace

uint64_t MemberId(const MemberDigest& aDigest)
{
  std::string text = aDigest.daemon;
  for (const std::string& part :
       { std::to_string(aDigest.incarnation), aDigest.peerAddress, aDigest.zone,
         std::to_string(static_cast<int>(aDigest.state)) }) {
    text += '\0';
    text += part;
  }
  return XXH3_64bits(text.data(), text.size());
}

Duration HeartbeatPeriod(const World& aWorld)
{
  const size_t daemons = std::max(aWorld.members.Size() + 1, aWorld.daemonsReported);
  return std::max(aWorld.options.gossipInterval,
                  kBeatSpacing * static_cast<int64_t>(daemons));
}

Duration SuspicionTime(const World& aWorld)
{
  const size_t daemons = std::max(aWorld.members.Size() + 1, aWorld.daemonsReported);
  const Duration interval = aWorld.options.gossipInterval;
  // A heartbeat passes through about log2(daemons) exchanges, some of them late. The
  // suspicion time of the settings suits up to kFewDaemons.
  const int64_t doublings =
    static_cast<int64_t>(std::bit_width(std::max(daemons, kFewDaemons) - 1)) -
    static_cast<int64_t>(std::bit_width(kFewDaemons - 1));
  return aWorld.options.suspicionTime + 2 * interval * doublings +
         kMissedBeats * (HeartbeatPeriod(aWorld) - interval);
}

bool IsReachable(const World& aWorld, const MemberRow& aRow)
{
  return aWorld.Now() - aRow.heard <= SuspicionTime(aWorld);
}

void MembershipSystem::Start()
{
  lastRun_ = world_.Now();
  isGossipDue_ = true;
  world_.timers.SubscribeAt(world_.Now(), [](TimePoint) {});
  world_.timers.SubscribeEvery(world_.options.gossipInterval,
                               [this](TimePoint) { isGossipDue_ = true; });
}

void MembershipSystem::Run()
{
  const Duration gap = world_.Now() - std::exchange(lastRun_, world_.Now());
  if (gap > 2 * world_.options.gossipInterval) {
    // This daemon was paused, which says nothing about its peers.
    for (auto& [daemon, row] : world_.members) {
      row.heard += gap;
    }
  }
  for (const auto& event : std::exchange(inbox_, {})) {
    std::visit([this](const auto& aOne) { Process(aOne); }, event);
  }
  if (!world_.hostNews.empty()) {
    SpreadHostNews();
  }
  if (std::exchange(isGossipDue_, false)) {
    Gossip();
  }
}

void MembershipSystem::Process(const GossipReceived& aEvent)
{
  world_.counters.Add(Counter::GossipReceived);
  const GossipMessage& message = aEvent.message;
  for (const MemberDigest& digest : message.members) {
    MergeMember(digest);
  }
  for (const HostNews& news : message.hosts) {
    MergeNews(news);
  }
  std::vector<uint64_t> unknown;
  for (const MemberBeat& beat : message.beats) {
    if (!MergeBeat(beat) && unknown.size() < kMaxRows) {
      unknown.push_back(beat.id);
    }
  }
  MergeCount(message.daemons);
  MergeApplied(message);
  if (!IsAddress(message.fromAddress) ||
      (!message.wantsReply && unknown.empty() && message.wanted.empty())) {
    return;
  }
  // Compact rows go out only where a reply is wanted, so an exchange ends.
  GossipMessage reply =
    message.wantsReply ? MakeMessage(message.fromAddress, false) : EmptyMessage();
  reply.wanted = std::move(unknown);
  AddWanted(message.wanted, reply);
  Send(message.fromAddress, std::move(reply));
}

bool MembershipSystem::MergeBeat(const MemberBeat& aBeat)
{
  const auto found = ids_.find(aBeat.id);
  if (found == ids_.end()) {
    return aBeat.id == MemberId(OwnDigest());
  }
  MemberRow* row = world_.members.Find(found->second);
  if (aBeat.heartbeat > row->digest.heartbeat) {
    row->digest.heartbeat = aBeat.heartbeat;
    row->digest.appliedConfig =
      std::max(row->digest.appliedConfig, aBeat.appliedConfig); // see MergeApplied()
    row->heard = world_.Now();
    spreads_[found->second] = { .id = aBeat.id, .copies = 0, .lastSend = 0 };
  }
  return true;
}

std::pair<std::vector<std::string>, uint64_t> MembershipSystem::ListDaemons() const
{
  std::vector<std::string> names{ world_.options.daemon };
  uint64_t hash = 0;
  const auto add = [&](const std::string& aDaemon, uint64_t aIncarnation) {
    const std::string text = aDaemon + '\0' + std::to_string(aIncarnation);
    hash += XXH3_64bits(text.data(), text.size());
  };
  add(world_.options.daemon, world_.options.incarnation);
  for (const auto& [daemon, row] : world_.members) {
    names.push_back(daemon);
    add(daemon, row.digest.incarnation);
  }
  std::ranges::sort(names);
  return { std::move(names), hash };
}

void MembershipSystem::AddApplied(GossipMessage& aMessage) const
{
  const auto appliedBy = [this](const std::string& aDaemon) {
    const MemberRow* row = world_.members.Find(aDaemon);
    return row != nullptr ? row->digest.appliedConfig : world_.appliedConfig;
  };
  const auto [names, hash] = ListDaemons();
  aMessage.membersHash = hash;
  for (const std::string& name : names) {
    aMessage.appliedUpTo = std::max(aMessage.appliedUpTo, appliedBy(name));
  }
  aMessage.applied.resize((names.size() + kWordBits - 1) / kWordBits);
  for (size_t i = 0; i < names.size(); ++i) {
    if (appliedBy(names[i]) >= aMessage.appliedUpTo) {
      aMessage.applied[i / kWordBits] |= uint64_t{ 1 } << (i % kWordBits);
    }
  }
}

void MembershipSystem::MergeApplied(const GossipMessage& aMessage)
{
  const auto [names, hash] = ListDaemons();
  if (hash != aMessage.membersHash ||
      aMessage.applied.size() * kWordBits < names.size()) {
    return;
  }
  for (size_t i = 0; i < names.size(); ++i) {
    MemberRow* row = world_.members.Find(names[i]);
    const bool isApplied =
      ((aMessage.applied[i / kWordBits] >> (i % kWordBits)) & 1) != 0;
    if (isApplied && row != nullptr) {
      row->digest.appliedConfig =
        std::max(row->digest.appliedConfig, aMessage.appliedUpTo);
    }
  }
}

void MembershipSystem::MergeCount(uint32_t aDaemons)
{
  // A daemon that knows few others yet must not suspect them by the time that suits few.
  if (aDaemons >= world_.daemonsReported || world_.Now() - countedAt_ > kCountLifetime) {
    world_.daemonsReported = aDaemons;
    countedAt_ = world_.Now();
  }
}

void MembershipSystem::Process(const GossipFailed& aEvent)
{
  world_.counters.Add(Counter::GossipFailures);
  sentRevisions_.erase(aEvent.address);
}

void MembershipSystem::MergeMember(const MemberDigest& aDigest)
{
  if (aDigest.daemon.empty() || aDigest.daemon.size() > kMaxName ||
      !IsAddress(aDigest.peerAddress)) {
    return;
  }
  if (aDigest.daemon == world_.options.daemon) {
    if (aDigest.incarnation > world_.options.incarnation) {
      world_.Log(LogLevel::Warning, kPart,
                 "another daemon at " + aDigest.peerAddress + " has the same name");
    }
    return;
  }
  MemberRow* row = world_.members.Find(aDigest.daemon);
  if (row != nullptr) {
    const MemberDigest& known = row->digest;
    if (std::pair(aDigest.incarnation, aDigest.heartbeat) <=
        std::pair(known.incarnation, known.heartbeat)) {
      return;
    }
    if (aDigest.incarnation > known.incarnation) {
      // A restarted daemon knows nothing of what was sent to the one before it.
      sentRevisions_.erase(aDigest.peerAddress);
    }
  }
  Offset applied = aDigest.appliedConfig;
  if (row != nullptr && row->digest.incarnation == aDigest.incarnation) {
    applied = std::max(applied, row->digest.appliedConfig); // see MergeApplied()
  }
  world_.heardAddresses.insert(aDigest.peerAddress);
  world_.members.Insert(aDigest.daemon,
                        MemberRow{ .digest = aDigest, .heard = world_.Now() });
  world_.members.Find(aDigest.daemon)->digest.appliedConfig = applied;
  Spread& spread = spreads_[aDigest.daemon];
  ids_.erase(spread.id);
  spread = { .id = MemberId(aDigest), .copies = 0, .lastSend = 0 };
  ids_[spread.id] = aDigest.daemon;
}

void MembershipSystem::MergeNews(const HostNews& aNews)
{
  if (aNews.host.empty()) {
    return;
  }
  HostRow* row = world_.hosts.Find(aNews.host);
  if (row == nullptr) {
    row = &world_.hosts.Insert(aNews.host, HostRow{});
  }
  if (aNews.sequence <= row->sequence) {
    return;
  }
  row->sequence = aNews.sequence;
  ++world_.hostsRevision;
  if (aNews.leaving == row->leaving) {
    // Several daemons may have had the same notice: only the first word of it is spread.
    if (world_.Now() - row->leavingSince > kSameSign) {
      row->leavingSince = world_.Now();
    }
    return;
  }
  if (aNews.leaving) {
    world_.counters.Add(Counter::HostsLeaving);
    world_.Log(LogLevel::Info, kPart,
               "a peer says that host " + aNews.host + " is leaving");
  }
  row->leaving = aNews.leaving;
  if (aNews.leaving) {
    row->leavingSince = world_.Now();
  }
  world_.hostNews.push_back(aNews);
}

void MembershipSystem::SpreadHostNews()
{
  GossipMessage message = EmptyMessage();
  for (HostNews& news : std::exchange(world_.hostNews, {})) {
    message.hosts.push_back(news);
    SpreadNews& spread = news_[news.host];
    spread = { .news = std::move(news),
               .revision = ++revision_,
               .learned = world_.Now() };
  }
  std::vector<std::string> live;
  std::vector<std::string> silent;
  SortAddresses(live, silent);
  std::vector<std::string> chosen;
  std::ranges::sample(live, std::back_inserter(chosen), kNewsPeers, world_.random);
  for (const std::string& address : chosen) {
    Send(address, message);
  }
}

void MembershipSystem::Gossip()
{
  ExpireMembers();
  std::vector<std::string> live;
  std::vector<std::string> silent;
  SortAddresses(live, silent);
  // Silent peers are tried too, so that the sides of a partition find each other again.
  const bool isProbe =
    !silent.empty() && (live.empty() || world_.random() % kProbeInterval == 0);
  const std::vector<std::string>& peers = isProbe ? silent : live;
  if (!peers.empty()) {
    const std::string& address = peers[world_.random() % peers.size()];
    Send(address, MakeMessage(address, true));
  }
}

void MembershipSystem::ExpireMembers()
{
  const TimePoint now = world_.Now();
  const Duration removeAfter = kRemoveAfter * SuspicionTime(world_);
  world_.members.EraseIf([&](const std::string& aDaemon, const MemberRow& aRow) {
    if (now - aRow.heard <= removeAfter) {
      return false;
    }
    ids_.erase(spreads_[aDaemon].id);
    spreads_.erase(aDaemon);
    sentRevisions_.erase(aRow.digest.peerAddress);
    return true;
  });
  std::erase_if(news_, [&](const auto& aItem) {
    return now - aItem.second.learned > kNewsLifetime * SuspicionTime(world_);
  });
}

MemberDigest MembershipSystem::OwnDigest() const
{
  return { .daemon = world_.options.daemon,
           .incarnation = world_.options.incarnation,
           .heartbeat = heartbeat_,
           .peerAddress = world_.options.peerAddress,
           .zone = world_.options.zone,
           .appliedConfig = world_.appliedConfig,
           .state = world_.state };
}

void MembershipSystem::RefreshOwnRow()
{
  const bool isNews = toldApplied_ != world_.appliedConfig || toldState_ != world_.state;
  if (isNews || heartbeat_ == 0 || world_.Now() - lastBeat_ >= HeartbeatPeriod(world_)) {
    ++heartbeat_;
    lastBeat_ = world_.Now();
    toldApplied_ = world_.appliedConfig;
    toldState_ = world_.state;
  }
}

GossipMessage MembershipSystem::EmptyMessage() const
{
  GossipMessage message;
  message.fromAddress = world_.options.peerAddress;
  message.members.push_back(OwnDigest());
  message.daemons = static_cast<uint32_t>(world_.members.Size() + 1);
  return message;
}

GossipMessage MembershipSystem::MakeMessage(const std::string& aAddress, bool aWantsReply)
{
  RefreshOwnRow();
  GossipMessage message = EmptyMessage();
  message.wantsReply = aWantsReply;
  AddApplied(message);
  AddBeats(aAddress, message);
  AddNews(aAddress, message);
  return message;
}

void MembershipSystem::AddBeats(const std::string& aAddress, GossipMessage& aMessage)
{
  std::vector<std::pair<Spread*, const MemberDigest*>> candidates;
  for (const auto& [daemon, row] : world_.members) {
    Spread& spread = spreads_[daemon];
    // Rows out of reach are not sent: a peer that has removed one would take it for new.
    if (spread.copies < kCopies && IsReachable(world_, row) &&
        row.digest.peerAddress != aAddress) {
      candidates.emplace_back(&spread, &row.digest);
    }
  }
  // The rows that were sent least often are the newest; among these, the longest unsent.
  const size_t count = std::min(candidates.size(), kMaxBeats);
  std::ranges::partial_sort(
    candidates, candidates.begin() + static_cast<std::ptrdiff_t>(count), {},
    [](const auto& aItem) {
      return std::pair(aItem.first->copies, aItem.first->lastSend);
    });
  candidates.resize(count);
  for (auto& [spread, digest] : candidates) {
    ++spread->copies;
    spread->lastSend = ++sends_;
    aMessage.beats.push_back({ .id = spread->id,
                               .heartbeat = digest->heartbeat,
                               .appliedConfig = digest->appliedConfig });
  }
}

void MembershipSystem::AddNews(const std::string& aAddress, GossipMessage& aMessage)
{
  uint64_t& sent = sentRevisions_[aAddress];
  std::vector<const SpreadNews*> unsent;
  for (const auto& [host, spread] : news_) {
    if (spread.revision > sent) {
      unsent.push_back(&spread);
    }
  }
  std::ranges::sort(unsent, {}, &SpreadNews::revision);
  unsent.resize(std::min(unsent.size(), kMaxNews));
  for (const SpreadNews* spread : unsent) {
    aMessage.hosts.push_back(spread->news);
    sent = spread->revision;
  }
}

void MembershipSystem::AddWanted(const std::vector<uint64_t>& aIds,
                                 GossipMessage& aMessage) const
{
  for (const uint64_t id : aIds) {
    const auto found = ids_.find(id);
    if (found == ids_.end() || aMessage.members.size() > kMaxRows) {
      continue;
    }
    const MemberRow* row = world_.members.Find(found->second);
    if (IsReachable(world_, *row)) {
      aMessage.members.push_back(row->digest);
    }
  }
}

void MembershipSystem::Send(const std::string& aAddress, GossipMessage aMessage)
{
  world_.counters.Add(Counter::GossipSent);
  world_.Emit(SendGossip{ .address = aAddress, .message = std::move(aMessage) });
}

void MembershipSystem::SortAddresses(std::vector<std::string>& aLive,
                                     std::vector<std::string>& aSilent) const
{
  std::map<std::string, bool> addresses; // address to whether it is live
  for (const std::string& seed : world_.options.seedPeers) {
    addresses[seed] = false;
  }
  for (const auto& [daemon, row] : world_.members) {
    bool& isLive = addresses[row.digest.peerAddress];
    isLive = isLive || IsReachable(world_, row);
  }
  addresses.erase(world_.options.peerAddress);
  for (const auto& [address, isLive] : addresses) {
    (isLive ? aLive : aSilent).push_back(address);
  }
}

} // namespace gooseberrypath
