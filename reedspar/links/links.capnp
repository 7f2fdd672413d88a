@0xa4c3915e7d20bf18;
# The messages of the link protocol: hellos and heartbeats.

struct Hello {
  name @0 :Text;
  role @1 :Text;
  zone @2 :Text;
  region @3 :Text;
  host @4 :Text;
  port @5 :UInt16;
}

struct Heartbeat {
  nonce @0 :UInt64;
}
