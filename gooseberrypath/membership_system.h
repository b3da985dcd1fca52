// Gossips with the other daemons and keeps the membership table.
//
// In each interval the daemon sends one random peer the rows that changed since they were
// last sent to it, and asks for the same in return. News of leaving hosts goes out at
// once to a few live peers, and rides on the regular messages for a while for those it
// missed.

#ifndef GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
#define GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Tells whether there was news of the daemon within CoreOptions::suspicionTime.
bool IsReachable(const World& aWorld, const MemberRow& aRow);

/// Gossips with the other daemons and keeps the membership table. The daemon itself is
/// not in the table. Events are kept until Run(), because only then is World::Now() the
/// time at which they arrived.
class MembershipSystem
{
public:
  explicit MembershipSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start();

  /// Handles the messages since the last run and spreads news of hosts.
  void Run();

  void Handle(const GossipReceived& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const GossipFailed& aEvent) { inbox_.emplace_back(aEvent); }

private:
  /// News of a host that still rides on the regular messages.
  struct SpreadNews
  {
    HostNews news;
    uint64_t revision = 0;
    TimePoint learned;
  };

  void Process(const GossipReceived& aEvent);
  void Process(const GossipFailed& aEvent);
  void MergeMember(const MemberDigest& aDigest);
  void MergeNews(const HostNews& aNews);
  void Gossip();
  void ExpireMembers();
  void SpreadHostNews();

  MemberDigest OwnDigest() const;
  /// Makes a message with all that changed since the last message to this address.
  GossipMessage MakeMessage(const std::string& aAddress, bool aWantsReply);
  void Send(const std::string& aAddress, GossipMessage aMessage);
  /// Lists the addresses of reachable members and those of all other members and seeds.
  void SortAddresses(std::vector<std::string>& aLive,
                     std::vector<std::string>& aSilent) const;

  World& world_;
  uint64_t heartbeat_ = 0;
  uint64_t revision_ = 0;                         // grows with each change
  std::map<std::string, uint64_t> rowRevisions_;  // daemon to revision of its row
  std::map<std::string, uint64_t> sentRevisions_; // address to what it was sent
  std::map<std::string, SpreadNews> news_;        // by host
  TimePoint lastRun_{};
  bool isGossipDue_ = false;
  std::vector<std::variant<GossipReceived, GossipFailed>> inbox_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
