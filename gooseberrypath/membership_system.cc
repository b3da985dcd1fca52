#include "gooseberrypath/membership_system.h"

#include <algorithm>
#include <map>
#include <utility>

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

} // namespace

bool IsReachable(const World& aWorld, const MemberRow& aRow)
{
  return aWorld.Now() - aRow.heard <= aWorld.options.suspicionTime;
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
  if (message.wantsReply && IsAddress(message.fromAddress)) {
    Send(message.fromAddress, MakeMessage(message.fromAddress, false));
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
  world_.members.Insert(aDigest.daemon,
                        MemberRow{ .digest = aDigest, .heard = world_.Now() });
  rowRevisions_[aDigest.daemon] = ++revision_;
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
  GossipMessage message;
  message.fromAddress = world_.options.peerAddress;
  message.members.push_back(OwnDigest());
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
  ++heartbeat_;
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
  world_.members.EraseIf([&](const std::string& aDaemon, const MemberRow& aRow) {
    if (now - aRow.heard <= kRemoveAfter * world_.options.suspicionTime) {
      return false;
    }
    rowRevisions_.erase(aDaemon);
    sentRevisions_.erase(aRow.digest.peerAddress);
    return true;
  });
  std::erase_if(news_, [&](const auto& aItem) {
    return now - aItem.second.learned > kNewsLifetime * world_.options.suspicionTime;
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

GossipMessage MembershipSystem::MakeMessage(const std::string& aAddress, bool aWantsReply)
{
  const auto found = sentRevisions_.find(aAddress);
  const uint64_t sent = found == sentRevisions_.end() ? 0 : found->second;
  GossipMessage message;
  message.fromAddress = world_.options.peerAddress;
  message.wantsReply = aWantsReply;
  message.members.push_back(OwnDigest());
  for (const auto& [daemon, row] : world_.members) {
    // Rows out of reach are not sent: a peer that has removed one would take it for new.
    if (rowRevisions_[daemon] > sent && IsReachable(world_, row) &&
        row.digest.peerAddress != aAddress) {
      message.members.push_back(row.digest);
    }
  }
  for (const auto& [host, spread] : news_) {
    if (spread.revision > sent) {
      message.hosts.push_back(spread.news);
    }
  }
  sentRevisions_[aAddress] = revision_;
  return message;
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
