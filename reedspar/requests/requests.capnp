@0xe7b2640f91ac38d5;
# Messages between entries about claims and crashes, and stored claim records.

struct CrashNews {
  crashId @0 :Text;
  pool @1 :Text;
  zone @2 :Text;
  suspects @3 :List(CrashSuspect);
  ageMs @4 :UInt64;
}

struct CrashSuspect {
  fingerprint @0 :Text;
  promptParts @1 :List(Text);
  arrival @2 :Text;
}

struct CrashNewsRequest {
}

struct CrashVerdictNews {
  fingerprint @0 :Text;
  promptParts @1 :List(Text);
  isBlamed @2 :Bool;
  ageMs @3 :UInt64;
  isReplaced @4 :Bool;
}

struct ClaimRequest {
  claimKey @0 :Text;
  token @1 :Text;
  # Id of the request that will run the order if the claim is granted.
  payload @2 :Text;
  location @3 :Text;
}

struct ClaimReply {
  token @0 :Text;
  verdict @1 :Text;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
  weightsDigest @5 :Text;
  detail @6 :Text;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ClaimUpdate {
  claimKey @0 :Text;
  token @1 :Text;
  location @2 :Text;
  state @3 :Text;
  status @4 :UInt16;
  headers @5 :List(Header);
  body @6 :Data;
  weightsDigest @7 :Text;
}

struct ClaimUpdated {
  token @0 :Text;
}

struct ClaimRecord {
  claimKey @0 :Text;
  token @1 :Text;
  payload @2 :Text;
  state @3 :Text;
  claimedAtS @4 :Float64;
  status @5 :UInt16;
  headers @6 :List(Header);
  body @7 :Data;
  weightsDigest @8 :Text;
}

struct ClaimSlice {
  records @0 :List(Data);
  # Encoded ClaimRecords, so that a writer has to encode only the changed ones.
}

struct AnswerCounts {
  pool @0 :Text;
  zone @1 :Text;
  answered @2 :UInt32;
  traits @3 :List(Text);
  counts @4 :List(UInt32);
}

struct AnswerCountsNews {
  scopes @0 :List(AnswerCounts);
}
