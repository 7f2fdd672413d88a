@0xe3a1c94b7d20f586;
# Messages by which daemons exchange their view of the fleet.

struct FleetRequest {
  prefix @0 :Text;
  afterRevision @1 :UInt64;
}

struct FleetEntry {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
  isPacked @4 :Bool;
}

struct FleetEntries {
  prefix @0 :Text;
  revision @1 :UInt64;
  entries @2 :List(FleetEntry);
  isWhole @3 :Bool;
}

struct PrefixState {
  prefix @0 :Text;
  newestRevision @1 :UInt64;
  coveredRevision @2 :UInt64;
  digest @3 :UInt32;
}

struct FleetNews {
  states @0 :List(PrefixState);
  isServed @1 :Bool;
}

struct ChangedPrefix {
  prefix @0 :Text;
  newestRevision @1 :UInt64;
}

struct AuditNews {
  revision @0 :UInt64;
  changed @1 :List(ChangedPrefix);
}

struct DocumentRequest {
  prefix @0 :Text;
  afterRevision @1 :UInt64;
}

struct DocumentNews {
  prefix @0 :Text;
  newestRevision @1 :UInt64;
  coveredRevision @2 :UInt64;
  isServed @3 :Bool;
}

struct RemovalQuery {
  prefix @0 :Text;
  keys @1 :List(Text);
}

struct VersionAgeRequest {
  model @0 :Text;
  version @1 :UInt64;
}

struct VersionAge {
  model @0 :Text;
  version @1 :UInt64;
  ageMs @2 :UInt64;
}

struct TargetLoadNews {
  host @0 :Text;
  port @1 :UInt32;
  running @2 :UInt32;
  waiting @3 :UInt32;
  slots @4 :UInt32;
  isTaking @5 :Bool;
  pace @6 :Float64;
}

struct TargetLimitNews {
  targetId @0 :Text;
  bootId @1 :Text;
  isLimited @2 :Bool;
  ratePerS @3 :Float64;
  ageMs @4 :UInt64;
}

struct TargetLeavingNews {
  targetId @0 :Text;
  bootId @1 :Text;
}

struct TargetEndlessNews {
  targetId @0 :Text;
  bootId @1 :Text;
}

struct SpeedRow {
  bootId @0 :Text;
  percent @1 :UInt16;
  ageMs @2 :UInt16;
}

struct TargetSpeedNews {
  pool @0 :Text;
  rows @1 :List(SpeedRow);
}
