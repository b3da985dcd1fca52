// Decides which requests end the engines that run them, and which prompt parts end the
// engines that begin to answer calls with them. The evidence is what the daemons observe:
// calls whose connection ended before their answer was whole, and calls and parts that
// were answered.
//
// A request is blocked when three engines ended under it. It is known by its print, so it
// is the same one under each id. An engine does not count against a request if another
// one that ran there has ended more engines, nor if the request was answered shortly
// before or has been answered since.
//
// A part is blocked when the connections of two different requests with it ended before
// any event at two different engines and no call with it has been answered since. A part
// that was answered shortly before is not suspected. One request counts once, however
// often it is told, and it does not count for a part if another of its parts has more
// such requests, or if the request itself is blocked or has ended as many engines.
//
//   PartEvidence evidence;
//   evidence.RecordAnswer(now, part);
//   evidence.AddOwn(now, BrokenStart{ ... });
//   evidence.Merge(now, startOfPeer);
//   evidence.Update(now);
//   const PartBlock* block = evidence.BlockFor(part, team);
//   const RequestBlock* own = evidence.BlockFor(print);

#ifndef ENTRY_PART_EVIDENCE_H_
#define ENTRY_PART_EVIDENCE_H_

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "entry/answer_times.h"
#include "entry/request_print.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath::entry {

/// Identifies an attempt whose connection ended before its answer was whole.
struct BrokenStartId
{
  uint32_t backend = 0;   // hash of the backend's id
  uint64_t startedMs = 0; // start of the backend that ended
  RequestPrint request;

  auto operator<=>(const BrokenStartId&) const = default; // NOLINT(modernize-use-nullptr)
};

/// What is known of such an attempt.
struct BrokenStart
{
  BrokenStartId id;
  uint32_t team = 0; // hash of the team's name; 0: none
  TimePoint at{};
  std::vector<uint64_t> parts; // shared parts that may have ended the backend
  bool isOwn = false;          // an attempt of this daemon
  bool isCleared = false;      // the request itself did not end the backend

  /// Tells whether the request or a part of it is suspected.
  bool IsSuspect() const { return !isCleared || !parts.empty(); }
};

/// A request that gets no attempts.
struct RequestBlock
{
  RequestPrint request;
  TimePoint since{};   // when this daemon blocked it
  TimePoint firstAt{}; // end of the first of these engines
  size_t engines = 0;  // that ended under it
};

/// A part that gets no calls.
struct PartBlock
{
  uint64_t part = 0;
  TimePoint since{};        // when this daemon blocked it
  TimePoint firstAt{};      // end of the first of these backends
  size_t starts = 0;        // calls at whose start a backend ended
  std::set<uint32_t> teams; // that sent these calls
};

/// Trials of a blocked part: calls that are sent to see whether it still ends engines. A
/// blocked request is not tried, but its calls are noted here too, under its KeyOf().
struct PartTrials
{
  uint32_t count = 0;   // by all daemons
  TimePoint lastAt{};   // of the last trial
  TimePoint wantedAt{}; // of the last call with the part, refused ones included
};

enum class StartRecorded : uint8_t
{
  Yes,
  NothingSuspected, // the request and all of its parts were answered lately
  TableFull,
};

class PartEvidence
{
public:
  /// Sets for how long a part counts as safe after it was answered.
  void SetFreshTime(Duration aTime) { freshTime_ = aTime; }

  /// Records that a call with the part was answered at this daemon. Returns whether the
  /// other daemons should be told.
  bool RecordAnswer(TimePoint aNow, uint64_t aPart);

  /// Records that a peer told of an answered part. `aPartKey` is its KeyOf().
  void RecordPeerAnswer(TimePoint aNow, uint32_t aPartKey);

  /// Records that this daemon has a whole answer to a request. Returns whether the other
  /// daemons should be told, because it was suspected.
  bool RecordAnswer(TimePoint aNow, const RequestPrint& aRequest);

  /// Tells whether this daemon had an answer to the request after the attempt broke or
  /// shortly before.
  bool WasAnswered(const RequestPrint& aRequest, TimePoint aBrokenAt) const;

  /// Adds an attempt of this daemon. Parts that count as safe are left out.
  StartRecorded AddOwn(TimePoint aNow, BrokenStart aStart);

  /// Merges an attempt that a peer told of: a part that either side no longer suspects is
  /// left out. Ignores old attempts whose parts no call wants.
  void Merge(TimePoint aNow, BrokenStart aStart);

  /// Merges some of the parts of an attempt, of which a peer tells the others later. A
  /// part that was answered meanwhile is left out.
  void MergeSome(TimePoint aNow, BrokenStart aStart);

  /// Clears what was blamed on the end of a backend, because it still runs.
  void RecordAlive(TimePoint aNow, uint32_t aBackend, uint64_t aStartedMs);

  /// Decides anew which parts are blocked, if the evidence has changed, and forgets old
  /// evidence.
  void Update(TimePoint aNow);

  /// Returns the block of the part for calls of the team, or null. While all the evidence
  /// comes from one team, the part is blocked for this team only, so that no team can
  /// block the parts of another one.
  const PartBlock* BlockFor(uint64_t aPart, uint32_t aTeam) const;

  /// Returns the block of the request, or null.
  const RequestBlock* BlockFor(const RequestPrint& aRequest) const;

  const std::map<RequestPrint, RequestBlock>& RequestBlocks() const
  {
    return requestBlocks_;
  }

  /// Returns how many engines ended under the request, as of the last Update().
  size_t EnginesOf(const RequestPrint& aRequest) const;

  const std::map<uint64_t, PartBlock>& Blocks() const { return blocks_; }
  const std::map<BrokenStartId, BrokenStart>& Starts() const { return starts_; }

  /// Returns how many calls count against the part, blocked or not.
  size_t StartsOf(uint64_t aPart) const;

  /// Returns the trials of a part; they are created if there are none.
  PartTrials& TrialsOf(uint64_t aPart) { return trials_[aPart]; }

  /// Merges the trials of a part that a peer told of.
  void MergeTrials(uint64_t aPart, const PartTrials& aTrials);

  const std::map<uint64_t, PartTrials>& Trials() const { return trials_; }

  /// Returns the hash of a part under which daemons tell that it was answered.
  static uint32_t KeyOf(uint64_t aPart);

  /// Returns the hash of a request under which daemons tell that it was answered.
  static uint32_t AnswerKeyOf(const RequestPrint& aRequest)
  {
    return KeyOf(KeyOf(aRequest));
  }

  /// Returns the number of a request among those of parts.
  static uint64_t KeyOf(const RequestPrint& aRequest) { return aRequest.low; }

private:
  /// Tells whether it was answered within the fresh time before, or later.
  bool WasAnswered(uint32_t aKey, TimePoint aSince) const;

  /// Clears an attempt of what counts as safe.
  void LeaveOutAnswered(BrokenStart& aStart) const;

  /// Adds an attempt that is not known yet, if it is of use and there is room for it.
  void Add(TimePoint aNow, BrokenStart aStart);

  /// Makes room for an attempt of the team if another team has more of them. Returns
  /// whether there is room.
  bool MakeRoom(uint32_t aTeam);

  /// Clears all attempts of a part or a request that was answered.
  void RemoveAnswered(uint32_t aKey);

  /// Tells whether evidence of this time is still of use: it is recent, or a call with
  /// one of the parts came lately.
  bool IsKept(const BrokenStart& aStart, TimePoint aNow) const;

  void ForgetOld(TimePoint aNow);

  /// Tells whether the attempt's request explains it as well as a part that ended this
  /// number of engines.
  bool IsExplained(const BrokenStart& aStart, size_t aEngines) const;

  /// Counts anew the engines that ended under each request.
  void CountEngines();
  void UpdateRequestBlocks(TimePoint aNow);
  void UpdatePartBlocks(TimePoint aNow);

  /// Returns the attempts that count against each part.
  std::map<uint64_t, std::vector<const BrokenStart*>> StartsByPart() const;

  Duration freshTime_ = std::chrono::seconds(2);
  std::map<BrokenStartId, BrokenStart> starts_;
  std::unordered_map<uint32_t, std::vector<BrokenStartId>> startsOfKey_; // by answer key
  AnswerTimes answered_;                                                 // of any daemon
  AnswerTimes ownAnswered_;                // whole answers of this daemon to requests
  std::map<RequestPrint, size_t> engines_; // that ended under each request
  std::map<RequestPrint, RequestBlock> requestBlocks_;
  std::map<uint64_t, PartBlock> blocks_;
  std::map<uint64_t, PartTrials> trials_;
  bool isChanged_ = false;
  TimePoint forgotAt_{};
};

} // namespace gooseberrypath::entry

#endif // ENTRY_PART_EVIDENCE_H_
