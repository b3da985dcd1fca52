// Keeps the tables of backends and hosts.
//
//   if (IsUsable(world, row)) { ... }  // may get new work

#ifndef GOOSEBERRYPATH_BACKEND_SYSTEM_H_
#define GOOSEBERRYPATH_BACKEND_SYSTEM_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Signs about one host that come this close together are taken for one reclaim, so that
/// daemons that all got the same notice do not spread it again for each other.
inline constexpr Duration kSameSign = std::chrono::seconds(3);

/// Tells whether the backend may get new work now.
bool IsUsable(const World& aWorld, const BackendRow& aRow);

/// Keeps the tables of backends and hosts. Events are kept until Run(), because only then
/// is World::Now() the time at which they arrived.
class BackendSystem
{
public:
  explicit BackendSystem(World& aWorld)
    : world_(aWorld)
  {
  }

  /// Subscribes to timers. Called once, before the first event.
  void Start() { started_ = world_.Now(); }

  /// Handles the events since the last run and brings the backend table up to date.
  void Run();

  void Handle(const HostList& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const ReclaimNotice& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const LoadReport& aEvent) { inbox_.emplace_back(aEvent); }
  void Handle(const AttemptNotSent& aEvent);
  void Handle(const AttemptAnswered& aEvent);

private:
  /// A backend refused a connection.
  struct Refused
  {
    std::string backend;
  };
  /// A backend said that it is shutting down.
  struct ShuttingDown
  {
    std::string host;
  };
  /// What is needed beside HostRow to tell when a leaving host may be used again.
  struct Departure
  {
    uint64_t sequence = 0;  // of the sign to which this belongs
    TimePoint noticeEnd{};  // when the host was to be gone
    bool wasListed = false; // the list showed it as leaving or gone since the sign
  };

  void Process(const HostList& aList);
  void Process(const ReclaimNotice& aNotice);
  void Process(const LoadReport& aReport);
  void Process(const Refused& aEvent);
  void Process(const ShuttingDown& aEvent);

  void ProcessEntry(const HostEntry& aEntry);
  void MarkLeaving(const std::string& aHost, Duration aTimeLeft);
  Departure& DepartureOf(const std::string& aHost, const HostRow& aRow);
  uint64_t NextSequence(const HostRow& aRow) const;
  void SyncServices();
  void SyncHosts();

  World& world_;
  TimePoint started_{};
  std::map<std::string, Departure> departures_;
  std::multimap<std::string, std::string> byAddress_; // address to backend ids
  std::vector<std::string> watched_;
  bool hasList_ = false; // a host list was read
  Offset syncedConfig_ = 0;
  uint64_t syncedHosts_ = 0;
  std::vector<std::variant<HostList, ReclaimNotice, LoadReport, Refused, ShuttingDown>>
    inbox_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_BACKEND_SYSTEM_H_
