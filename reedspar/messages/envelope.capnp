@0xb8f1d4c2a7e35901;
# The envelope of every frame between two daemons.

struct Envelope {
  sender @0 :Text;
  # The sending daemon's name, unique among live daemons.
  incarnation @1 :UInt64;
  # Increases each time a daemon with this name starts.
  configVersion @2 :UInt64;
  # The configuration version in force at the sender.
  freshAgeMs @3 :UInt32;
  # Milliseconds since the sender last confirmed that this version is the newest.
  kind @4 :Text;
  # The name under which the payload's message type is registered.
  payload @5 :Data;
  # The payload, encoded as a Cap'n Proto message.
}
