@0xc2f18d0be6473a95;
# Messages between the replicas of the keepers' log, and the records that they store.

struct Member {
  replicaId @0 :Text;    # name and a random part that is stored with the data
  addr @1 :Text;
  voter @2 :Bool;        # false: a learner, which does not count in a quorum
  place @3 :UInt8;       # of a learner: 0 none yet, 1 added, 2 vacated by a voter
}

struct Members {
  members @0 :List(Member);
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;        # 0 no-op, 1 command, 2 members
  payload @3 :Data;
}

struct AppendRequest {
  toId @0 :Text;
  leaderId @1 :Text;
  leaderAddr @2 :Text;
  term @3 :UInt64;
  prevIndex @4 :UInt64;
  prevTerm @5 :UInt64;
  commitIndex @6 :UInt64;
  entries @7 :List(LogEntry);
}

struct AppendReply {
  term @0 :UInt64;
  accepted @1 :Bool;
  matchIndex @2 :UInt64;     # if accepted: index up to which the log is synced to disk
  conflictIndex @3 :UInt64;  # if refused: index from which the sender may try next
}

struct HeartbeatRequest {
  toId @0 :Text;
  leaderId @1 :Text;
  leaderAddr @2 :Text;
  term @3 :UInt64;
  commitIndex @4 :UInt64;    # never above the index that the receiver is known to have
}

struct HeartbeatReply {
  term @0 :UInt64;
}

struct VoteRequest {
  toId @0 :Text;
  candidateId @1 :Text;
  term @2 :UInt64;
  lastIndex @3 :UInt64;
  lastTerm @4 :UInt64;
  pre @5 :Bool;          # pre-vote: asks only whether a vote would be granted
  handover @6 :Bool;     # the leader requested this election, to hand over leadership
}

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
}

struct SnapshotChunk {
  toId @0 :Text;
  leaderId @1 :Text;
  leaderAddr @2 :Text;
  term @3 :UInt64;
  index @4 :UInt64;      # index of the last log entry that the snapshot contains
  offset @5 :UInt64;     # position of `data` in the snapshot file
  totalBytes @6 :UInt64;
  data @7 :Data;
}

struct SnapshotReply {
  term @0 :UInt64;
  nextOffset @1 :UInt64;
}

struct TimeoutNow {
  toId @0 :Text;
  leaderId @1 :Text;
  term @2 :UInt64;
}

struct IdentityQuery {
  fromId @0 :Text;
  peers @1 :Text;        # the sender's initial members, sorted
}

struct Identity {
  replicaId @0 :Text;
  addr @1 :Text;
  formed @2 :Bool;       # the replica has a log or has voted in an election
  peersAgree @3 :Bool;   # both replicas are configured with the same initial members
  memberIds @4 :List(Text);  # the newest membership in its log
  hasNoPeers @5 :Bool;   # the replica is not configured with initial members
}

struct SnapshotHeader {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(Member);
}
