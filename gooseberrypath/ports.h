// The boundaries of a daemon as concepts. Each has a real model in this folder and a fake
// in testing/.
//
// A port carries out actions through overloads of Execute() and reports events through
// the EventSink that it was constructed with. It may call the sink from within Execute().

#ifndef GOOSEBERRYPATH_PORTS_H_
#define GOOSEBERRYPATH_PORTS_H_

#include <functional>
#include <string_view>

#include "gooseberrypath/actions.h"
#include "gooseberrypath/events.h"
#include "gooseberrypath/types.h"

namespace gooseberrypath {

/// Receives events from the ports.
using EventSink = std::function<void(Event)>;

/// Tells whether a port carries out this type of action.
template<typename P, typename A>
concept Executes = requires(P aPort, const A& aAction)
{
  aPort.Execute(aAction);
};

/// Callers: emits CallerRequest and CallerGone.
template<typename P>
concept CallerPort = Executes<P, ReplyWhole> && Executes<P, ReplyStreamHead> &&
  Executes<P, ReplyStreamEvent> && Executes<P, ReplyStreamEnd>;

/// Engines and services: emits Attempt… events, KvExported, KvExportFailed and
/// LoadReport. After AttemptNotSent, AttemptFinished, AttemptAnswered, AttemptBroken or
/// CancelAttempt, an attempt has no further events.
template<typename P>
concept BackendPort =
  Executes<P, StartModelAttempt> && Executes<P, StartServiceAttempt> &&
  Executes<P, CancelAttempt> && Executes<P, ExportKv> && Executes<P, WatchLoads>;

/// The platform's log: emits LogBatch, LogReadFailed, AppendDone and AppendFailed.
/// Follow() reads a stream from an offset, for ever, and emits a LogBatch for each
/// answer, also for an empty one.
template<typename P>
concept LogPort = Executes<P, AppendRecord> &&
  requires(P aPort, std::string_view aStream, Offset aFrom)
{
  aPort.Follow(aStream, aFrom);
};

/// Other daemons: emits GossipReceived, GossipFailed, ClaimAsked, ClaimAnswered,
/// SnapshotReceived, HandOverAsked, HandOverAnswered, StreamAsked and StreamAnswered.
template<typename P>
concept PeerPort = Executes<P, SendGossip> && Executes<P, AskClaim> &&
  Executes<P, AnswerClaimQuestion> && Executes<P, AskSnapshot> &&
  Executes<P, HandOverStream> && Executes<P, AnswerHandOver> && Executes<P, ReadStream> &&
  Executes<P, AnswerStreamQuestion>;

/// Operators: emits OperatorWrite, OperatorRead, OperatorStatus and OperatorDrain.
template<typename P>
concept OperatorPort = Executes<P, OperatorReply>;

/// Logs and traces.
template<typename P>
concept ObservationPort = Executes<P, WriteLog> && Executes<P, WriteSpan>;

/// The clock: WakeAt() replaces the previous wake-up.
template<typename P>
concept ClockPort = requires(P aPort, TimePoint aTime, std::function<void()> aWake)
{
  {
    aPort.Now()
    } -> std::convertible_to<TimePoint>;
  aPort.WakeAt(aTime, aWake);
};

/// The platform's host list and reclaim notices: emits HostList and ReclaimNotice on its
/// own. It carries out no actions.
template<typename P>
concept HostListPort = requires(P aPort)
{
  aPort.Start();
};

} // namespace gooseberrypath

#endif // GOOSEBERRYPATH_PORTS_H_
