@0xb6c05d1e72f4a839;
# Commands in the replicated log of the keepers.

using Control = import "control.capnp";
using Claims = import "claims.capnp";

struct EditCommand {
  editId @0 :Text;
  op @1 :Text;               # put or delete
  name @2 :Text;
  entry @3 :Data;            # catalogue entry as JSON; empty for a delete
  expectRevision @4 :Int64;
  operator @5 :Text;
  wallMs @6 :UInt64;
  maxMemoryBytes @7 :UInt64; # memory of the largest accelerator that the leader knows
}

struct AssignCommand {
  serverId @0 :Text;
  desired @1 :List(Control.DesiredModel);
}

struct VersionsCommand {
  service @0 :Text;
  versions @1 :List(Text);   # of the software of the listed servers
  wallMs @2 :UInt64;         # wall time of the leader
}

struct DrainCommand {
  serverId @0 :Text;
  drained @1 :Bool;
}

struct ClaimBeginCommand {
  begin @0 :Claims.ClaimBegin;
  wallMs @1 :UInt64;         # wall time of the leader
  keepMs @2 :UInt64;         # time after which the claim expires
  maxClaims @3 :UInt32;
}

struct ClaimAttemptCommand {
  attempt @0 :Claims.ClaimAttempt;
  wallMs @1 :UInt64;
}

struct ClaimFinishCommand {
  finish @0 :Claims.ClaimFinish;
  wallMs @1 :UInt64;
  maxAnswerBytes @2 :UInt64;
  maxAnswersBytes @3 :UInt64; # limit for all stored answers together
}

struct ApplyCommand {
  version @0 :UInt64;
  source @1 :Data;
  document @2 :Data;         # JSON
  needsKey @3 :Bool;
}
