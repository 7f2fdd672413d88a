@0xd31a9c04be57f286;
# Messages about attempts.  An entry daemon hands a request to a target agent at
# most once for each (requestId, attempt).

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct AttemptStart {
  requestId @0 :Text;
  attempt @1 :UInt32;
  pool @2 :Text;
  method @3 :Text;
  path @4 :Text;
  headers @5 :List(Header);
  body @6 :Data;
  timeoutS @7 :Float64;
  isIdempotent @8 :Bool;
  priority @9 :UInt8;
  workspace @10 :Text;
  fingerprint @11 :Text;
  weightsDigest @12 :Text;
  # Root digest of the weights that must produce the answer; empty: any offered.
  agentIncarnation @13 :UInt64;
  # The agent incarnation that is addressed; any other refuses the attempt.
  promptParts @14 :List(Text);
  isCancellable @15 :Bool;
}

struct AttemptRefused {
  requestId @0 :Text;
  attempt @1 :UInt32;
  reason @2 :Text;
  detail @3 :Text;
  retryAfterS @4 :Float64;
  # A refusal proves that the attempt did not start and never will.
}

struct AttemptHead {
  requestId @0 :Text;
  attempt @1 :UInt32;
  status @2 :UInt16;
  headers @3 :List(Header);
  weightsDigest @4 :Text;
}

struct AttemptData {
  requestId @0 :Text;
  attempt @1 :UInt32;
  offset @2 :UInt64;
  data @3 :Data;
}

struct AttemptDataBatch {
  # Data of several attempts in columns: reading a field is expensive in Python,
  # and a daemon relays thousands of tokens a second.
  requestIds @0 :List(Text);
  attempts @1 :List(UInt32);
  offsets @2 :List(UInt64);
  sizes @3 :List(UInt32);
  data @4 :Data;
  # The data of all attempts, concatenated.
}

struct AttemptEnd {
  requestId @0 :Text;
  attempt @1 :UInt32;
  kind @2 :Text;
  lengthBytes @3 :UInt64;
  digest @4 :Text;
  reason @5 :Text;
  detail @6 :Text;
}

struct AttemptCancel {
  requestId @0 :Text;
  attempt @1 :UInt32;
  agentIncarnation @2 :UInt64;
}

struct AttemptResume {
  requestId @0 :Text;
  attempt @1 :UInt32;
  offset @2 :UInt64;
  agentIncarnation @3 :UInt64;
}

struct AttemptStatus {
  requestId @0 :Text;
  attempt @1 :UInt32;
  phase @2 :Text;
  lengthBytes @3 :UInt64;
}

struct AttemptAck {
  requestId @0 :Text;
  attempt @1 :UInt32;
  offset @2 :UInt64;
  isComplete @3 :Bool;
}

struct LoadedWeights {
  model @0 :Text;
  rootDigest @1 :Text;
}

struct TargetReport {
  target @0 :Text;
  pool @1 :Text;
  zone @2 :Text;
  status @3 :Text;
  bootId @4 :Text;
  inFlight @5 :UInt32;
  queued @6 :UInt32;
  limit @7 :UInt32;
  offered @8 :List(LoadedWeights);
  sequence @9 :UInt64;
  latencyS @10 :Float64;
}

struct CrashSuspect {
  fingerprint @0 :Text;
  promptParts @1 :List(Text);
  arrival @2 :Text;
}

struct CrashNotice {
  target @0 :Text;
  pool @1 :Text;
  zone @2 :Text;
  bootId @3 :Text;
  suspects @4 :List(CrashSuspect);
}

struct LeaveNotice {
  number @0 :UInt64;
  # An entry confirms it once it knows from earlier messages that the agent leaves.
}

struct LeaveConfirmation {
  number @0 :UInt64;
}
