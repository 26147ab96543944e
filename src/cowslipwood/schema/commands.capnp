@0xb6c05d1e72f4a839;
# Commands in the keepers' replicated log.

using Control = import "control.capnp";

struct EditCommand {
  editId @0 :Text;
  op @1 :Text;               # put or delete
  name @2 :Text;
  entry @3 :Data;            # JSON; empty for a delete
  expectRevision @4 :Int64;
  operator @5 :Text;
  wallMs @6 :UInt64;
  maxMemoryBytes @7 :UInt64; # largest accelerator known to the leader
}

struct AssignCommand {
  serverId @0 :Text;
  desired @1 :List(Control.DesiredModel);
}

struct DrainCommand {
  serverId @0 :Text;
  drained @1 :Bool;
}
