@0x9c5e21f7a8d03b64;
# How the configuration spreads between daemons, and how fresh it is known to be.

struct Attestation {
  zone @0 :Text;
  ageMs @1 :UInt32;
}

struct FreshnessBeacon {
  clockMs @0 :UInt64;
  # The sender's monotonic clock when it wrote this.
  confirmedAgeMs @1 :UInt32;
  # Age of the newest confirmation by the key-value service; 4294967295: none.
  attestations @2 :List(Attestation);
  # Age of the newest word of each availability zone.
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
  # The document's JSON form, compressed by zlib.
}
