# The gossip message that entry daemons send to each other. entry/peer_digest.h documents
# the fields.

@0xd2a37c9f0b6e4415;

using Cxx = import "/capnp/c++.capnp";
using Permit = import "permit.capnp";
$Cxx.namespace("gooseberrypath::entry::wire");

struct Digest {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  isStopping @3 :Bool;
  seesStore @4 :Bool;
  configVersion @5 :UInt64;
  dutyToken @6 :UInt64;
  dutyRenewal @7 :UInt64;
  demands @8 :List(ServiceDemand);
  backends @9 :List(BackendUse);
  teams @10 :List(TeamUse);
  usage @11 :List(UsageRow);
  peers @12 :List(Text);
  leaving @13 :List(LeavingBackend);
  fleetOffset @14 :UInt64;
  news @15 :List(FleetChange); # the fleet delta: backends that joined or left
  newsFrom @16 :UInt64; # store offset at which the delta begins
  newsNext @17 :UInt64; # store offset behind the last record of the delta
  limits @18 :List(BackendLimit);
  grantsPermits @19 :Bool;
  answeredParts @20 :List(UInt32); # hashes of prompt parts that were answered
  brokenStarts @21 :List(BrokenStart);
  partTrials @22 :List(PartTrials);
  storeEra @23 :UInt64;
  configurationAgeMs @24 :UInt32 = 0xffffffff; # the default: the sender does not know
  storeAnswerAgeMs @25 :UInt32 = 0xffffffff;
  fleetAgeMs @26 :UInt32 = 0xffffffff;
  fleetChangesEnd @27 :UInt64;
  loads @28 :List(BackendReport);
}

struct BrokenStart {
  backend @0 :UInt32;
  startedMs @1 :UInt64;
  unused @2 :UInt32;
  team @3 :UInt32;
  ageMs @4 :UInt32;
  parts @5 :List(UInt64);
  isPartial @6 :Bool;
  requestHigh @7 :UInt64;
  requestLow @8 :UInt64;
  isCleared @9 :Bool;
}

struct PartTrials {
  part @0 :UInt64;
  count @1 :UInt32;
  lastAgeMs @2 :UInt32;
  wantedAgeMs @3 :UInt32;
}

struct BackendLimit {
  backend @0 :UInt32;
  statement @1 :Permit.LimitStatement;
}

struct FleetChange {
  id @0 :Text;
  isRemoved @1 :Bool;
  service @2 :Text;
  address @3 :Text;
  dataCentre @4 :Text;
  slots @5 :UInt32;
  isLeaving @6 :Bool;
  isReclaimable @7 :Bool;
  leavesInMs @8 :Int64 = -1;
  bornMs @9 :UInt64;
  sequence @10 :UInt64;
}

struct LeavingBackend {
  id @0 :Text;
  bornMs @1 :UInt64;
  isRemoved @2 :Bool;
  removedBefore @3 :UInt64;
}

struct BackendUse {
  backend @0 :UInt32;
  inFlight @1 :UInt32;
  waitingTokens @2 :UInt32;
  kvTokens @3 :UInt32;
}

struct BackendReport {
  backend @0 :UInt32;
  ageMs @1 :UInt16;
  running @2 :UInt16;
  waiting @3 :UInt16;
  slots @4 :UInt16;
  pacePercent @5 :UInt16;
}

struct ServiceDemand {
  service @0 :UInt32;
  tokensPerSecond @1 :Float32;
}

struct TeamUse {
  team @0 :UInt32;
  admitted @1 :UInt64;
}

struct UsageRow {
  window @0 :UInt64;
  team @1 :Text;
  count @2 :UInt64;
}
