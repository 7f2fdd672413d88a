@0xd1b7c25f3a9e4867;
# Messages for the exchange of chunks, manifests and version phases between daemons.

struct ChunkRequest {
  digest @0 :Text;
  requestId @1 :UInt64;
  mayDraw @2 :Bool;
  grantedBytes @3 :UInt32;
}

struct ChunkGrant {
  digest @0 :Text;
  requestId @1 :UInt64;
  grantedBytes @2 :UInt32;
}

struct ChunkPiece {
  digest @0 :Text;
  requestId @1 :UInt64;
  offset @2 :UInt32;
  totalBytes @3 :UInt32;
  data @4 :Data;
}

struct ChunkRefused {
  digest @0 :Text;
  requestId @1 :UInt64;
  cause @2 :Text;
}

struct ChunkCancel {
  digest @0 :Text;
  requestId @1 :UInt64;
}

struct HaveMap {
  rootDigest @0 :Text;
  sequence @1 :UInt32;
  held @2 :Data;
  obtained @3 :Data;
  isReplyWanted @4 :Bool;
}

struct HaveUpdate {
  rootDigest @0 :Text;
  sequence @1 :UInt32;
  gained @2 :List(UInt32);
  dropped @3 :List(UInt32);
}

struct VersionNotice {
  model @0 :Text;
  rootDigest @1 :Text;
  sequence @2 :UInt64;
  phase @3 :Text;
}

struct ManifestRequest {
  model @0 :Text;
  version @1 :UInt64;
}

struct ManifestAnswer {
  model @0 :Text;
  version @1 :UInt64;
  encoded @2 :Data;
}
