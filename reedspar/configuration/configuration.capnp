@0x9c5e21f7a8d03b64;
# Distribution of the configuration between daemons, and evidence of its freshness.

struct Attestation {
  zone @0 :Text;
  ageMs @1 :UInt32;
}

struct FreshnessBeacon {
  clockMs @0 :UInt64;
  # The sender's monotonic clock when it wrote the beacon.
  confirmedAgeMs @1 :UInt32;
  # Age of the latest confirmation by the key-value service; 4294967295 if none.
  attestations @2 :List(Attestation);
  # The latest attestation of the sender's availability zone; of all zones if the
  # confirmation is old or missing.
}

struct ClockProbe {
  nonce @0 :UInt64;
}

struct ClockReply {
  nonce @0 :UInt64;
  clockMs @1 :UInt64;
}

struct ConfigurationRequest {
  heldVersion @0 :UInt64;
}

struct ConfigurationOffer {
  version @0 :UInt64;
  document @1 :Data;
  # The document as JSON, compressed with zlib.
}
