@0xc2f18d0be6473a95;
# Messages between the replicas of the keepers' log, and the records on their disks.

struct Member {
  replicaId @0 :Text;    # name and a random part that lives with the disk
  addr @1 :Text;
  voter @2 :Bool;        # false: a learner, which counts in no quorum
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
  matchIndex @2 :UInt64;     # when accepted: synced up to here
  conflictIndex @3 :UInt64;  # when refused: where the sender may try next
}

struct HeartbeatRequest {
  toId @0 :Text;
  leaderId @1 :Text;
  leaderAddr @2 :Text;
  term @3 :UInt64;
  commitIndex @4 :UInt64;    # at most what the receiver is known to hold
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
  pre @5 :Bool;          # asks only whether a vote would be granted
  handover @6 :Bool;     # the leader asked for this election
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
  index @4 :UInt64;      # last log index that the snapshot holds
  offset @5 :UInt64;     # of `data` in the snapshot file
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
  formed @2 :Bool;       # it holds a log, or has voted in one
  peersAgree @3 :Bool;   # both sides were given the same initial members
}

struct SnapshotHeader {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(Member);
}
