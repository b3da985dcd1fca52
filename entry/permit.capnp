# The messages by which entry daemons ask each other for permits to send requests to a
# limited backend. entry/permit_message.h and entry/backend_limit.h document the fields.

@0xc1f6b0d7a94e2235;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("gooseberrypath::entry::wire");

struct LimitStatement {
  isLimited @0 :Bool;
  perSecond @1 :Float64;
  sentMs @2 :Int64; # Unix ms
  receivedMs @3 :Int64; # Unix ms
}

struct PermitMessage {
  process @0 :Text;
  id @1 :UInt64;
  backend @2 :UInt32;
  statement @3 :LimitStatement;
  union {
    wanted @4 :UInt32; # a request
    granted @5 :UInt32; # a reply
  }
  askAgainMs @6 :UInt32; # in a reply
}
