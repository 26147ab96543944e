@0xa97be03d416c8f25;
# Messages about idempotency claims, between entries, the leading keeper and agents.

struct ClaimBegin {
  key @0 :Text;              # hash of the catalogue entry's name and the idempotency key
  digest @1 :Text;           # hash of the request's method, target and body
  entryId @2 :Text;
  keyTimeMs @3 :UInt64;      # wall time that the key contains; 0 if it contains none
  holder @4 :Text;           # identifies one submission; a repeated message has the same value
  serverId @5 :Text;         # server of the attempt to open; empty: open no attempt
  incarnation @6 :Text;
  agentAddr @7 :Text;
}

struct ClaimAttempt {
  key @0 :Text;
  attempt @1 :UInt32;        # number of the new attempt
  serverId @2 :Text;
  incarnation @3 :Text;
  agentAddr @4 :Text;
  epoch @5 :UInt64;
  holder @6 :Text;
}

struct ClaimFinish {
  key @0 :Text;
  attempt @1 :UInt32;
  outcome @2 :Text;          # answered, void, released or unknown
  status @3 :UInt32;
  headers @4 :Data;          # JSON list of name-value pairs
  body @5 :Data;
  epoch @6 :UInt64;
  kept @7 :Bool;             # false: the answer was too large to send and is not included
}

struct ClaimState {
  key @0 :Text;
  status @1 :Text;           # new, open, free, released, answered or unknown
  attempt @2 :UInt32;
  serverId @3 :Text;
  incarnation @4 :Text;
  agentAddr @5 :Text;
  answerStatus @6 :UInt32;
  answerHeaders @7 :Data;
  answerBody @8 :Data;
  answerKept @9 :Bool;       # false: answered, but the answer was too large to store
  epoch @10 :UInt64;         # index of the log entry that opened or reopened the claim
  holder @11 :Text;
  expiresMs @12 :UInt64;     # wall time at which the claim expires
}

struct AttemptQuery {
  attemptId @0 :Text;
  serverId @1 :Text;
  incarnation @2 :Text;
  expiresMs @3 :UInt64;
  voidAfterMs @4 :UInt32;    # time after which an attempt that has not begun is voided
  waitMs @5 :UInt32;         # time to wait for the end of an attempt that has begun
}

struct AttemptEnd {
  state @0 :Text;            # void, running, answered, cut or other-incarnation
  status @1 :UInt32;
  headers @2 :Data;          # JSON list of name-value pairs
  body @3 :Data;
  kept @4 :Bool;
}
