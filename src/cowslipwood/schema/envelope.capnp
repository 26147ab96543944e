@0xd3a1f5c2b4e60711;
# The outer record of every message between processes of the system.

struct Envelope {
  id @0 :UInt64;       # request number on this connection; 0 for a one-way message
  replyTo @1 :UInt64;  # the id this answers; 0 when it answers none
  kind @2 :Text;       # registered name of the message in payload
  payload @3 :Data;    # the message, encoded by its own schema
}
