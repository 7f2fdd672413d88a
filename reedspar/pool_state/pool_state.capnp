@0xb7d24c61f09e83a5;
# Messages by which entries and agents exchange demands, loads and pressure.  Rows are
# kept in columns: reading a field is expensive in Python.

struct DemandRows {
  pools @0 :List(Text);
  workspaces @1 :List(Text);
  poolIndexes @2 :List(UInt8);
  workspaceIndexes @3 :List(UInt16);
  # Positions in the lists of names.
  ranks @4 :List(UInt8);
  offered @5 :List(Float32);
  admitted @6 :List(Float32);
  isWhole @7 :Bool;
  # Rows that are missing are zero; otherwise they are as they were.
}

struct TargetRows {
  ids @0 :List(UInt64);
  running @1 :List(UInt16);
  waiting @2 :List(UInt16);
  taking @3 :List(Bool);
  slowdownPercents @4 :List(UInt16);
  memoryPercents @5 :List(UInt8);
  agesMs @6 :List(UInt16);
}

struct EntryNews {
  demands @0 :DemandRows;
  pressurePercent @1 :UInt16;
  turn @2 :UInt32;
}

struct LoadSubscription {
  intervalMs @0 :UInt32;
}

struct WholeRequest {
}

struct RegionNews {
  region @0 :Text;
  contributionCount @1 :UInt32;
  turn @2 :UInt32;
  demands @3 :DemandRows;
  targets @4 :TargetRows;
}

struct PoolStateNews {
  collector @0 :Text;
  sequence @1 :UInt64;
  contributionCount @2 :UInt32;
  turn @3 :UInt32;
  ageMs @4 :UInt32;
  demands @5 :DemandRows;
  targets @6 :TargetRows;
  entryIds @7 :List(UInt64);
  pressurePercents @8 :List(UInt16);
}
