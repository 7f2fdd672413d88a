@0xe2b7409d5c61fa38;
# Notices about daemons; each daemon passes on those that are new to it.

struct MemberNotice {
  kind @0 :Text;
  name @1 :Text;
  incarnation @2 :UInt64;
  # 0 for a notice from the instance list, which has no incarnations.
  observedMs @3 :UInt64;
  # Wall clock of the observer; the later of two notices takes precedence.
  role @4 :Text;
  zone @5 :Text;
  region @6 :Text;
  host @7 :Text;
  port @8 :UInt16;
  httpPort @9 :UInt16;
  pool @10 :Text;
}

struct MemberNews {
  notices @0 :List(MemberNotice);
}
