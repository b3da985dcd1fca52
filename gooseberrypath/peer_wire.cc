#include "gooseberrypath/peer_wire.h"

#include <algorithm>
#include <limits>

#include "gooseberrypath/errors.h"
#include "gooseberrypath/http_io.h"

namespace gooseberrypath {

namespace {

DaemonState FromWire(wire::MemberDigest::State aState)
{
  switch (aState) {
    case wire::MemberDigest::State::SERVING:
      return DaemonState::Serving;
    case wire::MemberDigest::State::DRAINING:
      return DaemonState::Draining;
    case wire::MemberDigest::State::STARTING:
      break;
  }
  return DaemonState::Starting; // also for a state of a newer version
}

uint32_t Saturate(uint64_t aValue)
{
  return static_cast<uint32_t>(
    std::min<uint64_t>(aValue, std::numeric_limits<uint32_t>::max()));
}

/// Returns Internal for a kind of a newer version.
ErrorKind KindOf(std::string_view aName)
{
  for (size_t i = 0; i < static_cast<size_t>(ErrorKind::Internal); ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    if (InfoOf(kind).name == aName) {
      return kind;
    }
  }
  return ErrorKind::Internal;
}

StreamEnd FromWire(wire::StreamEnd::Reader aEnd)
{
  StreamEnd end{ .finishReason = ToText(aEnd.getFinishReason()), .error = {} };
  if (aEnd.getErrorKind().size() > 0) {
    end.error =
      Error{ KindOf(ToText(aEnd.getErrorKind())), ToText(aEnd.getErrorMessage()) };
  }
  return end;
}

void ToWire(const StreamEnd& aEnd, wire::StreamEnd::Builder aInto)
{
  aInto.setFinishReason(View(aEnd.finishReason));
  if (aEnd.error) {
    aInto.setErrorKind(View(std::string(InfoOf(aEnd.error->kind).name)));
    aInto.setErrorMessage(View(aEnd.error->message));
  }
}

std::vector<std::string> FromWire(capnp::List<capnp::Text>::Reader aTokens)
{
  std::vector<std::string> tokens;
  for (const auto token : aTokens) {
    tokens.push_back(ToText(token));
  }
  return tokens;
}

void ToWire(const std::vector<std::string>& aTokens,
            capnp::List<capnp::Text>::Builder aInto)
{
  for (kj::uint i = 0; i < aInto.size(); ++i) {
    aInto.set(i, View(aTokens[i]));
  }
}

} // namespace

std::string ToText(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

GossipMessage FromWire(wire::GossipMessage::Reader aMessage)
{
  GossipMessage message{ .fromAddress = ToText(aMessage.getFromAddress()),
                         .wantsReply = aMessage.getWantsReply(),
                         .members = {},
                         .hosts = {},
                         .beats = {},
                         .wanted = {},
                         .daemons = aMessage.getDaemons(),
                         .applied = {},
                         .appliedUpTo = aMessage.getAppliedUpTo(),
                         .membersHash = aMessage.getMembersHash() };
  for (const auto member : aMessage.getMembers()) {
    message.members.push_back(
      MemberDigest{ .daemon = ToText(member.getDaemon()),
                    .incarnation = member.getIncarnation(),
                    .heartbeat = member.getHeartbeat(),
                    .peerAddress = ToText(member.getPeerAddress()),
                    .zone = ToText(member.getZone()),
                    .appliedConfig = member.getAppliedConfig(),
                    .state = FromWire(member.getState()) });
  }
  for (const auto host : aMessage.getHosts()) {
    message.hosts.push_back(HostNews{ .host = ToText(host.getHost()),
                                      .sequence = host.getSequence(),
                                      .leaving = host.getLeaving() });
  }
  const Offset highest = aMessage.getHighestApplied();
  for (const auto beat : aMessage.getBeats()) {
    message.beats.push_back(MemberBeat{
      .id = beat.getId(),
      .heartbeat = beat.getHeartbeat(),
      .appliedConfig = highest - std::min<Offset>(highest, beat.getBehind()) });
  }
  for (const uint64_t word : aMessage.getApplied()) {
    message.applied.push_back(word);
  }
  for (const uint64_t id : aMessage.getWanted()) {
    message.wanted.push_back(id);
  }
  return message;
}

void ToWire(const GossipMessage& aMessage, wire::GossipMessage::Builder aInto)
{
  aInto.setFromAddress(View(aMessage.fromAddress));
  aInto.setWantsReply(aMessage.wantsReply);
  auto members = aInto.initMembers(static_cast<kj::uint>(aMessage.members.size()));
  for (kj::uint i = 0; i < members.size(); ++i) {
    const MemberDigest& from = aMessage.members[i];
    auto into = members[i];
    into.setDaemon(View(from.daemon));
    into.setIncarnation(from.incarnation);
    into.setHeartbeat(from.heartbeat);
    into.setPeerAddress(View(from.peerAddress));
    into.setZone(View(from.zone));
    into.setAppliedConfig(from.appliedConfig);
    into.setState(from.state == DaemonState::Serving ? wire::MemberDigest::State::SERVING
                  : from.state == DaemonState::Draining
                    ? wire::MemberDigest::State::DRAINING
                    : wire::MemberDigest::State::STARTING);
  }
  auto hosts = aInto.initHosts(static_cast<kj::uint>(aMessage.hosts.size()));
  for (kj::uint i = 0; i < hosts.size(); ++i) {
    hosts[i].setHost(View(aMessage.hosts[i].host));
    hosts[i].setSequence(aMessage.hosts[i].sequence);
    hosts[i].setLeaving(aMessage.hosts[i].leaving);
  }
  Offset highest = 0;
  for (const MemberBeat& beat : aMessage.beats) {
    highest = std::max(highest, beat.appliedConfig);
  }
  aInto.setDaemons(aMessage.daemons);
  aInto.setHighestApplied(highest);
  auto beats = aInto.initBeats(static_cast<kj::uint>(aMessage.beats.size()));
  for (kj::uint i = 0; i < beats.size(); ++i) {
    const MemberBeat& from = aMessage.beats[i];
    beats[i].setId(from.id);
    beats[i].setHeartbeat(Saturate(from.heartbeat));
    beats[i].setBehind(Saturate(highest - from.appliedConfig));
  }
  aInto.setAppliedUpTo(aMessage.appliedUpTo);
  aInto.setMembersHash(aMessage.membersHash);
  auto applied = aInto.initApplied(static_cast<kj::uint>(aMessage.applied.size()));
  for (kj::uint i = 0; i < applied.size(); ++i) {
    applied.set(i, aMessage.applied[i]);
  }
  auto wanted = aInto.initWanted(static_cast<kj::uint>(aMessage.wanted.size()));
  for (kj::uint i = 0; i < wanted.size(); ++i) {
    wanted.set(i, aMessage.wanted[i]);
  }
}

ClaimWord FromWire(wire::ClaimWord aWord)
{
  switch (aWord) {
    case wire::ClaimWord::RUNNING:
      return ClaimWord::Running;
    case wire::ClaimWord::GAVE_UP:
      return ClaimWord::GaveUp;
    case wire::ClaimWord::NOT_HELD:
      return ClaimWord::NotHeld;
  }
  return ClaimWord::Unreachable; // a word of a newer version says nothing to this one
}

StreamState FromWire(wire::StreamState::Reader aState)
{
  StreamState state{ .id = ToText(aState.getId()),
                     .service = ToText(aState.getService()),
                     .team = ToText(aState.getTeam()),
                     .chat = ToText(aState.getChat()),
                     .model = ToText(aState.getModel()),
                     .trace = ToText(aState.getTrace()),
                     .span = ToText(aState.getSpan()),
                     .createdSeconds = aState.getCreatedSeconds(),
                     .timeLeft = Duration(aState.getTimeLeftUs()),
                     .tokens = FromWire(aState.getTokens()),
                     .end = {} };
  if (aState.hasEnd()) {
    state.end = FromWire(aState.getEnd());
  }
  return state;
}

void ToWire(const StreamState& aState, wire::StreamState::Builder aInto)
{
  aInto.setId(View(aState.id));
  aInto.setService(View(aState.service));
  aInto.setTeam(View(aState.team));
  aInto.setChat(View(aState.chat));
  aInto.setModel(View(aState.model));
  aInto.setTrace(View(aState.trace));
  aInto.setSpan(View(aState.span));
  aInto.setCreatedSeconds(aState.createdSeconds);
  aInto.setTimeLeftUs(aState.timeLeft.count());
  ToWire(aState.tokens, aInto.initTokens(static_cast<kj::uint>(aState.tokens.size())));
  if (aState.end) {
    ToWire(*aState.end, aInto.initEnd());
  }
}

StreamPart FromWire(wire::StreamPart::Reader aPart)
{
  StreamPart part{ .state = aPart.getIsFound() ? StreamPart::State::Found
                                               : StreamPart::State::NotFound,
                   .model = ToText(aPart.getModel()),
                   .createdSeconds = aPart.getCreatedSeconds(),
                   .total = aPart.getTotal(),
                   .tokens = FromWire(aPart.getTokens()),
                   .end = {} };
  if (aPart.hasEnd()) {
    part.end = FromWire(aPart.getEnd());
  }
  return part;
}

void ToWire(const StreamPart& aPart, wire::StreamPart::Builder aInto)
{
  aInto.setIsFound(aPart.state == StreamPart::State::Found);
  aInto.setModel(View(aPart.model));
  aInto.setCreatedSeconds(aPart.createdSeconds);
  aInto.setTotal(aPart.total);
  ToWire(aPart.tokens, aInto.initTokens(static_cast<kj::uint>(aPart.tokens.size())));
  if (aPart.end) {
    ToWire(*aPart.end, aInto.initEnd());
  }
}

} // namespace gooseberrypath
