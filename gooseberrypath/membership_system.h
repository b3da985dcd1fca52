// Gossips with the other daemons and keeps the membership table.
//
// In each interval the daemon sends one random peer the compact rows that changed and
// were not yet sent often enough, and asks for the same in return. A peer that does not
// know a row asks for the whole of it. News of leaving hosts goes out at once to a few
// live peers, and rides on the regular messages for a while for those it missed.

#ifndef GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
#define GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Returns the time between two heartbeats of a daemon: the gossip interval, or longer
/// among many daemons, so that the rows that change per second stay bounded.
Duration HeartbeatPeriod(const World& aWorld);

/// Returns how long there may be no news of a daemon before it counts as unreachable:
/// CoreOptions::suspicionTime, and more where heartbeats are rarer.
Duration SuspicionTime(const World& aWorld);

/// Tells whether there was news of the daemon within SuspicionTime().
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
  /// How far a row was passed on since it changed last.
  struct Spread
  {
    uint64_t id = 0; // MemberId()
    uint32_t copies = 0;
    uint64_t lastSend = 0; // value of sends_
  };

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
  /// Returns false if the row is not known.
  bool MergeBeat(const MemberBeat& aBeat);
  void MergeCount(uint32_t aDaemons);
  void MergeApplied(const GossipMessage& aMessage);
  void MergeNews(const HostNews& aNews);
  void Gossip();
  void ExpireMembers();
  void SpreadHostNews();

  /// Grows the heartbeat if it is due or if there is news of this daemon.
  void RefreshOwnRow();
  MemberDigest OwnDigest() const;
  /// Lists the names of all known daemons, with this one, in order, and their hash.
  std::pair<std::vector<std::string>, uint64_t> ListDaemons() const;
  GossipMessage EmptyMessage() const;
  /// Makes a message with the rows that were sent least often and with the news of hosts
  /// that this address was not sent.
  GossipMessage MakeMessage(const std::string& aAddress, bool aWantsReply);
  void AddBeats(const std::string& aAddress, GossipMessage& aMessage);
  void AddApplied(GossipMessage& aMessage) const;
  void AddNews(const std::string& aAddress, GossipMessage& aMessage);
  void AddWanted(const std::vector<uint64_t>& aIds, GossipMessage& aMessage) const;
  void Send(const std::string& aAddress, GossipMessage aMessage);
  /// Lists the addresses of reachable members and those of all other members and seeds.
  void SortAddresses(std::vector<std::string>& aLive,
                     std::vector<std::string>& aSilent) const;

  World& world_;
  uint64_t heartbeat_ = 0;
  TimePoint lastBeat_{};
  Offset toldApplied_ = 0; // of the last heartbeat
  DaemonState toldState_ = DaemonState::Starting;
  std::map<std::string, Spread> spreads_;         // by daemon
  std::unordered_map<uint64_t, std::string> ids_; // MemberId() to daemon
  uint64_t sends_ = 0;                            // rows sent so far
  TimePoint countedAt_{};                         // when daemonsReported was set
  uint64_t revision_ = 0;                         // grows with each news of a host
  std::map<std::string, uint64_t> sentRevisions_; // address to the news it was sent
  std::map<std::string, SpreadNews> news_;        // by host
  TimePoint lastRun_{};
  bool isGossipDue_ = false;
  std::vector<std::variant<GossipReceived, GossipFailed>> inbox_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_MEMBERSHIP_SYSTEM_H_
