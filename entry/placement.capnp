# The messages by which entry daemons ask each other for the placement of calls of a
# service. entry/placement_message.h documents the fields.

@0xe8d5b31f60a7c942;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrypath::entry::wire");

struct PlacementMessage {
  process @0 :Text; # of a request and a release
  id @1 :UInt64;
  service @2 :UInt32;
  kind @3 :UInt8; # 0: request, 1: reply, 2: release
  priority @4 :UInt8;
  outcome @5 :UInt8; # of a reply
  wasUsed @6 :Bool; # of a release
  team @7 :UInt32;
  dataCentre @8 :UInt32;
  backend @9 :UInt32;
  excluded @10 :List(UInt32);
  timeLeftMs @11 :UInt32;
  objectiveMs @12 :UInt32;
  waitMs @13 :UInt32; # of a reply
  timeAtBackendUs @14 :UInt32; # of a release
  running @15 :UInt32; # the load report of a release
  waiting @16 :UInt32;
  slots @17 :UInt32; # 0: there is no report
  pace @18 :Float32;
  reportAgeMs @19 :UInt32;
}
