@0xd3a1f5c2b4e60711;
# The outer record of every message between processes.

struct Envelope {
  id @0 :UInt64;       # number of the request on this connection; 0 if this is no request
  replyTo @1 :UInt64;  # id of the request that this message answers; 0 if it is no reply
  kind @2 :Text;       # class name of the message in payload
  payload @3 :Data;    # the message, encoded with its own schema
}
