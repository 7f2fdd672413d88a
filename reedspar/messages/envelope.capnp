@0xb8f1d4c2a7e35901;
# What every frame between two daemons carries, whatever its payload.

struct Envelope {
  sender @0 :Text;
  # The sending daemon's name, unique among live daemons.
  incarnation @1 :UInt64;
  # Grows each time a daemon of this name starts.
  configVersion @2 :UInt64;
  # The configuration version that is in force at the sender.
  freshAgeMs @3 :UInt32;
  # Age of the sender's last confirmation that this version is the newest.
  kind @4 :Text;
  # The name that the payload's message type is registered under.
  payload @5 :Data;
  # The payload's own Cap'n Proto message.
}
