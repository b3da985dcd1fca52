// Hands streams over to peers before this daemon stops, and takes them over from peers.
//
// A running model request is handed over when World::handOverAt has come: its attempt is
// cancelled first, so that the state that is sent stays the last word on its tokens. If
// no peer takes the request, it goes on here and is offered again later. Ended streams
// are handed over too, also when a planned stop without a time limit is complete.

#ifndef GOOSEBERRYPATH_HAND_OVER_SYSTEM_H_
#define GOOSEBERRYPATH_HAND_OVER_SYSTEM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberrypath/attempt_runner.h"
#include "gooseberrypath/reply_writer.h"
#include "gooseberrypath/world.h"

namespace gooseberrypath {

/// Hands streams over to peers and takes them over.
class HandOverSystem
{
public:
  explicit HandOverSystem(World& aWorld)
    : world_(aWorld)
    , attempts_(aWorld)
    , replies_(aWorld)
  {
  }

  void Start() {}

  /// Begins and drives hand-overs while the daemon stops.
  void Run();

  void Handle(const HandOverAsked& aEvent);
  void Handle(const HandOverAnswered& aEvent);

private:
  /// A stream that a peer is asked to take, by its public id.
  struct HandOver
  {
    std::optional<RequestId> request; // none: an ended stream
    std::vector<std::string> toAsk;   // addresses, the next one last
    uint32_t tries = 0;               // of the last one in toAsk
    QuestionId question;              // 0: nobody is asked now
    TimePoint due{};                  // end of the wait for an answer
  };

  /// When a request that no peer took is offered again.
  struct Retry
  {
    Duration pause{};
    TimePoint due{};
  };

  bool TakeOver(const StreamState& aState);
  bool TakeOverRunning(const StreamState& aState);
  void BeginRequests();
  void BeginEnded();
  void Drive(const std::string& aId, HandOver& aHandOver);
  void Complete(const std::string& aId, const HandOver& aHandOver);
  void GiveUp(const std::string& aId, const HandOver& aHandOver);
  std::optional<StreamState> StateOf(const std::string& aId,
                                     const HandOver& aHandOver) const;
  void WakeAt(TimePoint aTime);

  World& world_;
  AttemptRunner attempts_;
  ReplyWriter replies_;
  std::map<std::string, HandOver> handOvers_;
  std::map<std::string, Retry> retries_;
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_HAND_OVER_SYSTEM_H_
