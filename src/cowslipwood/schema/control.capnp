@0xe1c87a60b59d2f13;
# Messages between keepers and the agents, entries and operators that connect to them.

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
  leaderAddr @2 :Text;   # address for edits and reports; empty while the leader is unknown
}

struct Refused {
  code @0 :UInt32;
  message @1 :Text;
  retryAfterMs @2 :UInt64;
  leaderAddr @3 :Text;
  detail @4 :Data;       # JSON; its form depends on the code
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
  reservedBytes @17 :UInt64; # reserved for orders that the engine may still receive
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
  full @1 :Bool;             # true: replaces the receiver's whole catalogue
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
  ready @7 :List(Text);      # name@version of each model that is ready
  nInFlight @8 :UInt32;
  nQueued @9 :UInt32;
  waitMs @10 :Float64;
  kneeInFlight @11 :UInt32;
  softwareVersion @12 :Text;  # of the server, not of its weights; empty: not known
}

struct RoutingUpdate {
  full @0 :Bool;
  servers @1 :List(ServerView);
  removed @2 :List(Text);
}

struct EntryPlace {
  nEntries @0 :UInt32;       # number of live entry hosts
  rank @1 :UInt32;           # rank of the receiver among them, from 0
}

struct DemandSample {
  model @0 :Text;
  arrivalsPerS @1 :Float64;
  inFlight @2 :Float64;
  missedShare @3 :Float64;   # share of requests that missed their limits, 0 to 1
  waiting @4 :Float64;     # requests at a server that have not had their first event
  targetMs @5 :Float64;    # shortest target of the requests' routes; 0 if none has one
  lateShare @6 :Float64;   # share of the answered requests that missed their targets
}

struct HeldOff {
  serverId @0 :Text;
  forMs @1 :Float64;       # time in milliseconds, counted from the sending of the report
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
  expectRevision @4 :Int64;  # -1: any revision
  operatorToken @5 :Text;
}

struct OperatorReply {
  body @0 :Data;             # JSON
  revision @1 :UInt64;
}

struct ApplyDocument {
  version @0 :UInt64;
  source @1 :Data;       # as the operator sent it
  document @2 :Data;     # JSON, in the form that entries read
  operatorToken @3 :Text;
}

struct ReadDocument {
}

struct AppliedDocument {
  version @0 :UInt64;    # 0 while none has been applied
  source @1 :Data;
}

struct DocumentUpdate {
  version @0 :UInt64;
  document @1 :Data;
  needsKey @2 :Bool;
}

struct DocumentVersionRequest {
}

struct DocumentVersion {
  version @0 :UInt64;
}

struct KeepersUpdate {
  addrs @0 :List(Text);
}

struct Announce {
  replicaId @0 :Text;
  addr @1 :Text;
  isInitial @2 :Bool;    # started with the first keepers; replaces no member
}

struct HolderRequest {
  service @0 :Text;
  model @1 :Text;
  adapter @2 :Text;      # empty if no adapter is needed
  zone @3 :Text;
  patienceMs @4 :Float64;
}

struct HolderReply {
  serverId @0 :Text;
  ready @1 :List(Text);
}

struct ServerEnd {
  serverId @0 :Text;            # with the incarnation
  begunParts @1 :List(Text);    # of prompts whose answers had begun, without an event
  awaitedParts @2 :List(Text);  # of prompts whose answers had not begun
  ageMs @3 :Float64;            # time since the end in milliseconds, at the sending
}

struct CrashEvidence {
  ends @0 :List(ServerEnd);
  clearedParts @1 :List(Text);
}

struct ServerLimit {
  serverId @0 :Text;
  incarnation @1 :Text;
  ratePerS @2 :Float64;  # requests from all hosts together; infinite: no limit any more
  ageMs @3 :Float64;     # time since an answer last said so, at the sending
}

struct ServerLimits {
  limits @0 :List(ServerLimit);
}

struct SendPermitRequest {
  limit @0 :ServerLimit;  # as the entry knows it
  nWanted @1 :UInt16;
  urgencyRank @2 :UInt8;  # 0 is the most urgent
}

struct SendPermits {
  nGranted @0 :UInt16;
  nextMs @1 :Float64;        # time until the next permit; 0 if some were granted
  retryAfterMs @2 :Float64;  # time until those who asked before have theirs
}

struct AllowanceNeed {
  customer @0 :Text;
  wanted @1 :Float64;   # until the next question, with the requests that wait
  least @2 :Float64;    # of it, for the request that has waited longest; 0: none waits
  held @3 :Float64;     # not used, but may be
  used @4 :Float64;     # since the entry has started
  unpaid @5 :Float64;   # of both, without a grant, since the last answered question
}

struct AllowanceRequest {
  incarnation @0 :Text;
  number @1 :UInt64;    # of the question, from 1
  needs @2 :List(AllowanceNeed);
}

struct Allowance {
  customer @0 :Text;
  granted @1 :Float64;
  nextMs @2 :Float64;   # time until there is more; 0 if some was granted
  usePerS @3 :Float64;  # use of all entries per second
}

struct AllowanceGrant {
  allowances @0 :List(Allowance);
}

struct BegunStream {
  service @0 :Text;
  requestId @1 :Text;  # the client's attempt that brought the first event
  version @2 :Text;    # of the server's software
}

struct StreamsBegun {
  streams @0 :List(BegunStream);
}

struct StreamVersionRequest {
  service @0 :Text;
  requestId @1 :Text;
}

struct StreamVersion {
  version @0 :Text;
  isKnown @1 :Bool;
}

struct FleetLoad {
  listAgeMs @0 :Float64;   # age of the platform's list
  serverIds @1 :List(Text);
  nRunning @2 :List(UInt32);
  nQueued @3 :List(UInt32);
  kvPercents @4 :List(UInt8);  # used percentage of the KV cache
}
