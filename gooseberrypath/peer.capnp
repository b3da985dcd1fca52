@0xd1c7a5f60b3e9a42;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrypath::wire");

# RPC between daemons. See messages.h for the meaning of the fields.

struct MemberDigest {
  daemon @0 :Text;
  incarnation @1 :UInt64;
  heartbeat @2 :UInt64;
  peerAddress @3 :Text;
  zone @4 :Text;
  appliedConfig @5 :UInt64;
  state @6 :State;

  enum State {
    starting @0;
    serving @1;
    draining @2;
  }
}

# 16 bytes, because most of the traffic consists of these.
struct MemberBeat {
  id @0 :UInt64;
  heartbeat @1 :UInt32;
  behind @2 :UInt32; # applied config offset = highestApplied - behind
}

struct HostNews {
  host @0 :Text;
  sequence @1 :UInt64;
  leaving @2 :Bool;
}

struct GossipMessage {
  fromAddress @0 :Text;
  wantsReply @1 :Bool;
  members @2 :List(MemberDigest);
  hosts @3 :List(HostNews);
  beats @4 :List(MemberBeat);
  wanted @5 :List(UInt64);
  daemons @6 :UInt32;
  highestApplied @7 :UInt64; # base of MemberBeat.behind
  applied @8 :List(UInt64);
  appliedUpTo @9 :UInt64;
  membersHash @10 :UInt64;
}

enum ClaimWord {
  running @0;
  gaveUp @1;
  notHeld @2;
}

# How a model request ended. An empty errorKind: with a whole answer.
struct StreamEnd {
  finishReason @0 :Text;
  errorKind @1 :Text;
  errorMessage @2 :Text;
}

struct StreamState {
  id @0 :Text;
  service @1 :Text;
  team @2 :Text;
  chat @3 :Text;
  model @4 :Text;
  trace @5 :Text;
  span @6 :Text;
  createdSeconds @7 :Int64;
  timeLeftUs @8 :Int64;
  tokens @9 :List(Text);
  end @10 :StreamEnd; # null: running
}

struct StreamPart {
  isFound @0 :Bool;
  model @1 :Text;
  createdSeconds @2 :Int64;
  total @3 :UInt64;
  tokens @4 :List(Text);
  end @5 :StreamEnd; # null: running
}

interface Peer {
  gossip @0 (message :GossipMessage) -> ();
  askClaim @1 (claim :Text) -> (word :ClaimWord);
  snapshot @2 () -> (record :Text); # an encoded SnapshotRecord; empty: none
  handOver @3 (state :StreamState) -> (accepted :Bool);
  readStream @4 (stream :Text, from :UInt64) -> (part :StreamPart);
}
