@0xa97be03d416c8f25;
# Idempotency claims: messages between entries and the keeper leader.

struct ClaimBegin {
  key @0 :Text;
  digest @1 :Text;           # of method, target and body
  entryId @2 :Text;
  keyTimeMs @3 :UInt64;      # wall time carried by the key; 0 when it carries none
}

struct ClaimAttempt {
  key @0 :Text;
  attempt @1 :UInt32;
  serverId @2 :Text;
  incarnation @3 :Text;
  agentAddr @4 :Text;
}

struct ClaimFinish {
  key @0 :Text;
  attempt @1 :UInt32;
  outcome @2 :Text;          # answered, void or unknown
  status @3 :UInt32;
  headers @4 :Data;          # JSON list of pairs
  body @5 :Data;
}

struct ClaimState {
  key @0 :Text;
  status @1 :Text;           # new, open, free, answered, unknown
  attempt @2 :UInt32;
  serverId @3 :Text;
  incarnation @4 :Text;
  agentAddr @5 :Text;
  answerStatus @6 :UInt32;
  answerHeaders @7 :Data;
  answerBody @8 :Data;
  answerKept @9 :Bool;       # false: answered, but the answer was over the bound
}
