// Chooses the backends of a plain service for all daemons together: one daemon at a time,
// the placer, knows all calls of the service and answers each daemon's request with a
// backend that has a free slot, or lets the call wait for one. A daemon that gets no
// answer chooses alone. docs/design/placement.md describes the failures.
//
//   PlacementSystem placements(world);
//   world.placementsWanted.push_back(exchange); // a call waits for its placement
//   placements.Run();                           // asks, or places if it is the placer
//   world.placementsDecided;                    // calls whose placement was decided

#ifndef ENTRY_PLACEMENT_SYSTEM_H_
#define ENTRY_PLACEMENT_SYSTEM_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "entry/granter_choice.h"
#include "entry/service_placer.h"
#include "entry/world.h"

namespace gooseberrypath::entry {

/// Tells whether a backend for the call is chosen by the placer of its service.
bool MayBePlaced(const World& aWorld, const RequestRow& aRow);

class PlacementSystem
{
public:
  explicit PlacementSystem(World& aWorld)
    : world_(aWorld)
    , placers_(aWorld.Now())
  {
  }

  void Start();

  /// Asks for the placements that calls wait for and releases those that ended.
  void Run();

  void Handle(const PlaceRequestReceived& aEvent);
  void Handle(const PlaceReplyReceived& aEvent);
  void Handle(const PlaceReleaseReceived& aEvent);

  /// Notes the load that a backend reports to this daemon.
  void Handle(const AttemptAnswered& aEvent) { NoteLoad(aEvent.attempt, aEvent.head); }
  void Handle(const StreamStarted& aEvent) { NoteLoad(aEvent.attempt, aEvent.head); }

  /// Notes the load reports that a peer received, and whether it may place calls.
  void Handle(const DigestReceived& aEvent);

private:
  /// A request of this daemon, until its placement ended or it was given up.
  struct Ask
  {
    ExchangeId exchange;
    uint32_t service = 0; // hash of the name
    std::string placer;   // host
    std::string address;  // of the placer; empty: this daemon
    PlaceRequest request;
    TimePoint askedAt{};
    TimePoint replyBy{}; // or, while the request is held, when it is repeated
    TimePoint heldUntil{};
    TimerId timer;
    bool isHeld = false;
    bool isRepeated = false; // and the repeated request was not answered yet
    uint32_t backend = 0;    // hash of the id; 0: not placed yet
  };

  /// A service whose calls this daemon places.
  struct PlacedService
  {
    ServicePlacer placer;
    TimePoint updatedAt{};
    bool hasTimer = false;
  };

  /// The newest known load report of a backend.
  struct NotedLoad
  {
    LoadReport report;
    TimePoint receivedAt{};
  };

  // The daemon that asks.

  /// Asks the placer of the call's service, or decides that the daemon chooses alone.
  void AskFor(ExchangeId aExchange, RequestRow& aRow);
  void ApplyReply(const PlaceReply& aReply, const std::string& aFrom);
  void OnTimeout(uint64_t aId);

  /// Lets the request wait for its slot. It is repeated from time to time, since the
  /// reply that ends the wait may be lost.
  void Hold(Ask& aAsk, const PlaceReply& aReply);
  void Repeat(uint64_t aId, Ask& aAsk);

  /// Gives a request up and tells the placer. The daemon chooses alone.
  void GiveUp(uint64_t aId);

  /// Ends a request that the placer neither holds nor counts.
  void End(uint64_t aId, PlacementState aState, Duration aRetryAfter);

  /// Passes the decision on to the call.
  void Decide(const Ask& aAsk, const CallPlacement& aPlacement);

  /// Sends the release of a placement or of a request and forgets it.
  void Release(const EndedPlacement& aEnded);
  void SendRelease(const std::string& aTo, const PlaceRelease& aRelease);

  void NoteLoad(AttemptId aAttempt, const ResponseHead& aHead);
  void NoteLoad(const BackendRow& aBackend, const NotedLoad& aLoad);

  /// Returns the backend with the key, or null.
  BackendRow* FindBackend(uint32_t aKey);

  // The placer.

  /// Returns the placer of the service if this daemon is it and may place, or null.
  PlacedService* FindPlaced(uint32_t aService);

  /// Answers a request of this daemon or of a peer.
  PlaceReply Answer(const std::string& aFrom, const PlaceRequest& aRequest);

  void UpdateBackends(uint32_t aService, PlacedService& aPlaced);

  /// Lets a new placer begin with the load that backends reported to this daemon.
  void ApplyKnownLoads(const std::string& aService, PlacedService& aPlaced);

  /// Sends the replies to requests that were held, and checks again soon while others
  /// are.
  void ServeHeld(uint32_t aService);
  void Send(const std::vector<AddressedReply>& aReplies);

  /// Answers all held requests of a service and forgets what was placed.
  void StopPlacing(PlacedService& aPlaced);

  // Both.

  /// Updates which daemons may place, and stops placing where another one is the placer.
  void OnCheck();

  /// Detects that this process was suspended. It then waits before it places again.
  void DetectSuspension();
  void UpdatePlacers();
  void IndexServices();

  /// Removes the placements of processes that are not heard any more.
  void RemoveEndedProcesses();
  void LogPlacer(const std::string& aService);

  World& world_;
  GranterChoice placers_;
  std::map<uint64_t, Ask> asks_;
  std::map<std::string, TimePoint> pausedUntil_; // of placers, by host
  uint64_t lastAsk_ = 0;
  std::unordered_map<uint32_t, std::string> backendOfKey_;     // ids
  std::unordered_map<uint32_t, std::string> serviceOfKey_;     // names
  std::map<std::string, std::vector<std::string>> backendsOf_; // ids, by service
  std::map<std::string, NotedLoad> loads_;                     // by id of the backend
  std::map<uint32_t, PlacedService> placed_;                   // by hash of the name
  std::map<std::string, std::string> processes_;               // of daemons, by host
  std::map<std::string, std::string> loggedPlacers_;           // by service
  TimePoint checkedAt_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PLACEMENT_SYSTEM_H_
