@0xe1c87a60b59d2f13;
# Messages between keepers and the agents, entries and operators that call them.

struct Hello {
  role @0 :Text;         # keeper, agent, entry or operator
  peerId @1 :Text;
  incarnation @2 :Text;
  zone @3 :Text;
  token @4 :Text;
}

struct Welcome {
  keeperId @0 :Text;
  term @1 :UInt64;
  leaderAddr @2 :Text;   # where edits and reports go; empty while unknown
}

struct Refused {
  code @0 :UInt32;
  message @1 :Text;
  retryAfterMs @2 :UInt64;
  leaderAddr @3 :Text;
  detail @4 :Data;       # JSON, by code
}

struct Resident {
  model @0 :Text;
  version @1 :Text;
  state @2 :Text;        # waiting, loading, ready, unloading, uncertain or unreachable
  memoryBytes @3 :UInt64;
}

struct AgentReport {
  serverId @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  httpAddr @3 :Text;
  kind @4 :Text;         # engine or service
  serviceName @5 :Text;
  capacityBytes @6 :UInt64;
  committedBytes @7 :UInt64;
  leaving @8 :Bool;
  catalogueRevision @9 :UInt64;
  assignmentTerm @10 :UInt64;
  assignmentRevision @11 :UInt64;
  residents @12 :List(Resident);
  nInFlight @13 :UInt32;
  nQueued @14 :UInt32;
  waitMs @15 :Float64;
  kneeInFlight @16 :UInt32;
  reservedBytes @17 :UInt64; # for orders that may still arrive
}

struct AgentLoad {
  serverId @0 :Text;
  incarnation @1 :Text;
  nInFlight @2 :UInt32;
  nQueued @3 :UInt32;
  waitMs @4 :Float64;
}

struct DesiredModel {
  name @0 :Text;
  version @1 :Text;
  kind @2 :Text;
  base @3 :Text;
  memoryBytes @4 :UInt64;
}

struct Assignment {
  serverId @0 :Text;
  term @1 :UInt64;
  revision @2 :UInt64;
  desired @3 :List(DesiredModel);
  drained @4 :Bool;
}

struct PermitRequest {
  serverId @0 :Text;
  model @1 :Text;
}

struct PermitGrant {
  permitId @0 :UInt64;
  validMs @1 :UInt64;
}

struct PermitRelease {
  permitId @0 :UInt64;
  serverId @1 :Text;
}

struct CatalogueUpdate {
  revision @0 :UInt64;
  full @1 :Bool;             # true: replaces everything the receiver holds
  entries @2 :List(Data);    # catalogue entries as JSON
  deleted @3 :List(Text);
}

struct ServerView {
  serverId @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  httpAddr @3 :Text;
  kind @4 :Text;
  serviceName @5 :Text;
  leaving @6 :Bool;
  ready @7 :List(Text);      # name@version of each model ready to serve
  nInFlight @8 :UInt32;
  nQueued @9 :UInt32;
  waitMs @10 :Float64;
  kneeInFlight @11 :UInt32;
}

struct RoutingUpdate {
  full @0 :Bool;
  servers @1 :List(ServerView);
  removed @2 :List(Text);
}

struct EntryPlace {
  nEntries @0 :UInt32;       # live entry hosts
  rank @1 :UInt32;           # the receiver's place among them, from 0
}

struct DemandSample {
  model @0 :Text;
  arrivalsPerS @1 :Float64;
  inFlight @2 :Float64;
  missedShare @3 :Float64;   # share of requests outside their limits, 0 to 1
  waiting @4 :Float64;     # at a server, before the first event
  targetMs @5 :Float64;    # least of the requests' routes; 0 where none has one
  lateShare @6 :Float64;   # of the answered ones, those outside their targets
}

struct HeldOff {
  serverId @0 :Text;
  forMs @1 :Float64;       # from the sending of the report on
}

struct EntryReport {
  entryId @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  httpAddr @3 :Text;
  leaving @4 :Bool;
  catalogueRevision @5 :UInt64;
  demand @6 :List(DemandSample);
  heldOff @7 :List(HeldOff);
}

struct Ack {
  revision @0 :UInt64;
}

struct OperatorRequest {
  op @0 :Text;
  name @1 :Text;
  body @2 :Data;             # JSON
  editId @3 :Text;
  expectRevision @4 :Int64;  # -1: no expectation
  operatorToken @5 :Text;
}

struct OperatorReply {
  body @0 :Data;             # JSON
  revision @1 :UInt64;
}

struct ApplyDocument {
  version @0 :UInt64;
  source @1 :Data;       # as the operator sent it
  document @2 :Data;     # JSON, as entries read it
  operatorToken @3 :Text;
}

struct ReadDocument {
}

struct AppliedDocument {
  version @0 :UInt64;    # 0 while none was applied
  source @1 :Data;
}

struct DocumentUpdate {
  version @0 :UInt64;
  document @1 :Data;
}

struct KeepersUpdate {
  addrs @0 :List(Text);
}

struct Announce {
  replicaId @0 :Text;
  addr @1 :Text;
  isInitial @2 :Bool;    # it started with the system, in nobody's place
}

struct HolderRequest {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;      # empty for the model itself
  zone @3 :Text;
  patienceMs @4 :Float64;
}

struct HolderReply {
  serverId @0 :Text;
  ready @1 :List(Text);
}

struct FleetLoad {
  listAgeMs @0 :Float64;   # of the platform's list
  serverIds @1 :List(Text);
  nRunning @2 :List(UInt32);
  nQueued @3 :List(UInt32);
  kvPercents @4 :List(UInt8);  # of the memory for tokens
}
