@0xa97be03d416c8f25;
# Idempotency claims: messages between entries, the keeper leader and agents.

struct ClaimBegin {
  key @0 :Text;              # hash of the catalogue entry's name and the key
  digest @1 :Text;           # of method, target and body
  entryId @2 :Text;
  keyTimeMs @3 :UInt64;      # wall time carried by the key; 0 when it carries none
  holder @4 :Text;           # names one submission; a repeated message has the same
  serverId @5 :Text;         # where the attempt would go; empty: open none
  incarnation @6 :Text;
  agentAddr @7 :Text;
}

struct ClaimAttempt {
  key @0 :Text;
  attempt @1 :UInt32;        # the number that the new attempt gets
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
  headers @4 :Data;          # JSON list of pairs
  body @5 :Data;
  epoch @6 :UInt64;
  kept @7 :Bool;             # false: the answer was too large to send
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
  answerKept @9 :Bool;       # false: answered, but the answer was over the bound
  epoch @10 :UInt64;         # log index at which the claim was opened or reopened
  holder @11 :Text;
  expiresMs @12 :UInt64;     # wall time at which the claim ends
}

struct AttemptQuery {
  attemptId @0 :Text;
  serverId @1 :Text;
  incarnation @2 :Text;
  expiresMs @3 :UInt64;
  voidAfterMs @4 :UInt32;    # an attempt not begun by then is voided
  waitMs @5 :UInt32;         # how long to wait for the end of one that has begun
}

struct AttemptEnd {
  state @0 :Text;            # void, running, answered, cut or other-incarnation
  status @1 :UInt32;
  headers @2 :Data;          # JSON list of pairs
  body @3 :Data;
  kept @4 :Bool;
}
