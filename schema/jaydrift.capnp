# Messages between jaydrift's processes, and its JSON documents.
#
# Rules for changes, so that processes of two versions can talk to each other:
#
# - Fields, union members and enumerants are only added, with the next number.
#   They are never renumbered, and their types never change.
# - A field that is no longer used keeps its number and is renamed to
#   `obsoleteN`.
# - The default of a new field means what its absence meant before.
# - A receiver refuses a union member or enumerant that it does not know, with
#   an error for that call alone. A new one is therefore sent only after every
#   receiver has been replaced.
# - Names are part of the JSON form of policies and jobs and are kept.
#
# Units: fields ending in `Ms` are milliseconds, in `Mb` 2^20 bytes, in
# `Permille` thousandths. `millicores` are thousandths of a processor. A point
# in time counts from the epoch of the clock that its comment names. Counts,
# identifiers, versions, epochs, generations and revisions have no unit.
#
# Limits: a message holds at most 64 MB; a payload, answer or value 16 MB.

@0xaa8d0b6ac5a48e31;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaydrift::net::schema");

# Interfaces

interface Store {
  # Stand-in of the platform's key-value store and VM list.
  call @0 (request :StoreRequest) -> (reply :StoreReply);
}

interface Worker {
  # Served by each worker to daemons.
  call @0 (request :WorkerRequest) -> (reply :WorkerReply);
}

interface Peer {
  # Served by each daemon to the other daemons.
  call @0 (request :PeerRequest) -> (reply :PeerReply);
}

interface Operator {
  # Served by each daemon to operators.
  call @0 (request :OperatorRequest) -> (reply :OperatorReply);
}

# Parts that several messages share

enum TaskClass {
  urgent @0;
  service @1;
  batch @2;
  background @3;
}

enum CallStatus {
  ok @0;
  refused @1;
  conflict @2;
  pending @3;
  notFound @4;
}

enum JobState {
  waiting @0;
  running @1;
  finished @2;
  cancelled @3;
  parked @4;
}

enum RequestOutcome {
  completed @0;
  notRun @1;
  unknown @2;
}

struct Resources {
  millicores @0 :Int64;    # thousandths of a processor
  memoryMb @1 :Int64;      # 2^20 bytes
  accelerators @2 :Int64;  # count
}

struct ShardId {
  region @0 :Text;    # name
  number @1 :UInt32;  # index within the region
}

struct OwnershipTerm {
  shard @0 :ShardId;
  epoch @1 :UInt64;       # number of the ownership, grows by one or more
  owner @2 :Text;         # daemon identifier
  generation @3 :UInt64;  # number of the voter set
}

struct JobSpec {
  id @0 :Text;               # identifier, unique per deployment
  kind @1 :Text;             # name of a kind of the policy
  team @2 :Text;             # name
  homeRegion @3 :Text;       # name; empty: region of the receiving daemon
  taskCount @4 :UInt32 = 1;  # count
  demand @5 :Resources;      # of each task
  runTimeMs @6 :Int64;       # milliseconds, declared, of each task
}

struct JobStatus {
  id @0 :Text;           # identifier
  state @1 :JobState;
  taskCount @2 :UInt32;  # count
  finished @3 :UInt32;   # count of tasks
  running @4 :UInt32;    # count of tasks
  evictions @5 :UInt32;  # count
  reason @6 :Text;       # for people
}

struct ShowJob {
  id @0 :Text;          # identifier
  homeRegion @1 :Text;  # name; empty: region of the receiving daemon
}

struct CancelJob {
  id @0 :Text;          # identifier
  homeRegion @1 :Text;  # name; empty: region of the receiving daemon
}

struct JobRequest {
  union {
    submit @0 :JobSpec;
    show @1 :ShowJob;
    cancel @2 :CancelJob;
  }
}

struct JobReply {
  status @0 :CallStatus;
  reason @1 :Text;  # for people
  job @2 :JobStatus;
}

struct MemberInfo {
  daemon @0 :Text;   # identifier
  address @1 :Text;  # ip:port of the RPC service
  region @2 :Text;   # name
  zone @3 :Text;     # name
}

# Policy documents

struct ZonePolicy {
  name @0 :Text;         # of the availability zone
  region @1 :Text;       # name
  open @2 :Bool = true;  # whether work may start there
}

struct KindPolicy {
  kind @0 :Text;                   # name
  priority @1 :TaskClass = batch;
  idempotent @2 :Bool;             # whether it may be repeated
  demand @3 :Resources;            # of one urgent request
}

struct ClassShare {
  priority @0 :TaskClass = batch;
  percent @1 :UInt32 = 100;  # hundredths of each VM, at most 100
}

struct TeamQuota {
  team @0 :Text;         # name
  millicores @1 :Int64;  # thousandths of a processor
}

struct PolicyDocument {
  version @0 :UInt64;             # grows by one per change
  comment @1 :Text;               # for people
  zones @2 :List(ZonePolicy);
  kinds @3 :List(KindPolicy);
  shares @4 :List(ClassShare);
  quotas @5 :List(TeamQuota);
}

# Store

enum StoreOutcome {
  ok @0;
  conflict @1;
  notFound @2;
  leaseExpired @3;
  overloaded @4;
  tooLarge @5;
}

enum VmState {
  live @0;
  leaving @1;
  gone @2;
}

struct PutRequest {
  key @0 :Text;                # path
  value @1 :Data;              # bytes
  hasExpectedRevision @2 :Bool;
  expectedRevision @3 :UInt64; # of the key; 0: must not exist
  token @4 :Text;              # unique per write
  lease @5 :UInt64;            # identifier; 0: none
}

struct EraseRequest {
  key @0 :Text;                # path
  hasExpectedRevision @1 :Bool;
  expectedRevision @2 :UInt64; # of the key
}

struct ReadRequest {
  prefix @0 :Text;  # of paths
}

struct WatchRequest {
  prefix @0 :Text;           # of paths
  afterRevision @1 :UInt64;  # of the store
}

struct GrantLeaseRequest {
  timeToLiveMs @0 :Int64;  # milliseconds
}

struct KeepAliveRequest {
  lease @0 :UInt64;  # identifier
}

struct ListVmsRequest {
  afterRevision @0 :UInt64;  # of the VM list
}

struct StoreRequest {
  union {
    put @0 :PutRequest;
    erase @1 :EraseRequest;
    read @2 :ReadRequest;
    watch @3 :WatchRequest;
    grantLease @4 :GrantLeaseRequest;
    keepAlive @5 :KeepAliveRequest;
    listVms @6 :ListVmsRequest;
  }
}

struct StoreEntry {
  key @0 :Text;         # path
  value @1 :Data;       # bytes
  revision @2 :UInt64;  # of the key
  token @3 :Text;       # of the write
}

struct VmInfo {
  worker @0 :Text;   # identifier
  address @1 :Text;  # ip:port of the RPC service
  region @2 :Text;   # name
  zone @3 :Text;     # name
  rack @4 :Text;     # name
  capacity @5 :Resources;
  state @6 :VmState;
}

struct StoreReply {
  outcome @0 :StoreOutcome;
  revision @1 :UInt64;           # of the key, store or VM list
  entries @2 :List(StoreEntry);
  deleted @3 :List(Text);        # paths
  lease @4 :UInt64;              # identifier
  vms @5 :List(VmInfo);
}

# Worker

enum TaskAction {
  throttle @0;
  unthrottle @1;
  checkpoint @2;
  evict @3;
  cancel @4;
}

enum TaskState {
  running @0;
  finished @1;
  failed @2;
  evicted @3;
  leaseLapsed @4;
}

enum WorkerOutcome {
  ok @0;
  staleEpoch @1;
  staleGeneration @2;
  pastDeadline @3;
  leaseLapsed @4;
  overLimit @5;
  leaving @6;
  unknownTask @7;
  alreadyStarted @8;
  failed @9;
}

struct TaskSpec {
  id @0 :Text;                     # identifier
  kind @1 :Text;                   # name
  team @2 :Text;                   # name
  priority @3 :TaskClass = batch;
  demand @4 :Resources;
  runTimeMs @5 :Int64;             # milliseconds, declared
  checkpointMs @6 :Int64;          # milliseconds of run time
}

struct FenceRequest {
  term @0 :OwnershipTerm;
}

struct RenewRequest {
  term @0 :OwnershipTerm;
  leaseUntilMs @1 :Int64;         # milliseconds, worker's clock
  policyVersion @2 :UInt64;       # of the policy that the owner applies
  acknowledged @3 :List(Text);    # task identifiers
}

struct StartRequest {
  term @0 :OwnershipTerm;
  task @1 :TaskSpec;
  attempt @2 :UInt32;        # number of the start
  startBeforeMs @3 :Int64;   # milliseconds, worker's clock
  payload @4 :Data;          # bytes
}

struct ControlRequest {
  term @0 :OwnershipTerm;
  task @1 :Text;       # identifier
  attempt @2 :UInt32;  # number of the start
  action @3 :TaskAction;
}

struct WorkerRequest {
  union {
    fence @0 :FenceRequest;
    renew @1 :RenewRequest;
    start @2 :StartRequest;
    control @3 :ControlRequest;
  }
}

struct TaskReport {
  task @0 :TaskSpec;
  attempt @1 :UInt32;      # number of the start
  state @2 :TaskState;
  shard @3 :ShardId;
  checkpointMs @4 :Int64;  # milliseconds of run time
  answer @5 :Data;         # bytes
}

struct TaskUsage {
  task @0 :Text;                       # identifier
  kind @1 :Text;                       # name
  millicores @2 :Int64;                # thousandths of a processor
  memoryMb @3 :Int64;                  # 2^20 bytes
  slowdownPermille @4 :Int64 = 1000;   # thousandths of the idle run time
}

struct UsageReport {
  generation @0 :UInt64;         # number of the report
  measuredAtMs @1 :Int64;        # milliseconds, worker's clock
  tasks @2 :List(TaskUsage);
}

struct WorkerReply {
  outcome @0 :WorkerOutcome;
  reason @1 :Text;            # for people
  workerClockMs @2 :Int64;    # milliseconds, worker's clock
  epoch @3 :UInt64;           # highest known for the shard
  policyVersion @4 :UInt64;   # highest known
  capacity @5 :Resources;
  used @6 :Resources;
  leaving @7 :Bool;           # whether the VM takes no new work
  tasks @8 :List(TaskReport);
  usage @9 :UsageReport;
  answer @10 :Data;           # bytes
  remembersAll @11 :Bool = true;  # false for the retention time after a restart
}

# Peer

struct OwnedShard {
  shard @0 :ShardId;
  epoch @1 :UInt64;          # number of the ownership
  policyVersion @2 :UInt64;  # applied there
}

struct Heartbeat {
  sender @0 :MemberInfo;
  draining @1 :Bool;             # whether it hands its shards over
  policyVersion @2 :UInt64;      # applied
  shards @3 :List(OwnedShard);
  earlyClosed @4 :List(Text);    # names of availability zones
}

struct UrgentRequest {
  id @0 :Text;            # identifier, unique per deployment
  kind @1 :Text;          # name
  homeRegion @2 :Text;    # name
  hasIssuedAt @3 :Bool;
  issuedAtMs @4 :Int64;   # milliseconds, caller's clock
  patienceMs @5 :Int64;   # milliseconds
  payload @6 :Data;       # bytes
}

struct ExecuteRequest {
  request @0 :UrgentRequest;
  delegated @1 :Bool;  # whether a shard of another region keeps the record
}

struct QueryRequest {
  request @0 :Text;  # request identifier
}

struct PolicyUpdate {
  policy @0 :PolicyDocument;
  relay @1 :Bool;  # whether to pass it on within the region
}

struct RequestResult {
  outcome @0 :RequestOutcome = notRun;
  answer @1 :Data;  # bytes
  reason @2 :Text;  # for people
}

struct RequestRecord {
  id @0 :Text;         # request identifier
  worker @1 :Text;     # identifier
  attempt @2 :UInt32;  # number of the start
  started @3 :Bool;
  finished @4 :Bool;
  result @5 :RequestResult;
}

struct HandOverRequest {
  shard @0 :ShardId;
  epoch @1 :UInt64;  # number of the ownership
  records @2 :List(RequestRecord);
}

struct PeerRequest {
  union {
    heartbeat @0 :Heartbeat;
    execute @1 :ExecuteRequest;
    query @2 :QueryRequest;
    job @3 :JobRequest;
    policyUpdate @4 :PolicyUpdate;
    handOver @5 :HandOverRequest;
  }
}

struct PeerAcknowledgement {
  accepted @0 :Bool = true;
}

struct PeerReply {
  union {
    acknowledgement @0 :PeerAcknowledgement;
    heartbeat @1 :Heartbeat;
    result @2 :RequestResult;
    job @3 :JobReply;
  }
}

# Operator

struct ApplyPolicy {
  policy @0 :PolicyDocument;
  basedOn @1 :UInt64;  # version that the operator saw
  token @2 :Text;      # unique per command
}

struct UndoPolicy {
  basedOn @0 :UInt64;  # version that the operator saw
  token @1 :Text;      # unique per command
}

struct SetZone {
  zone @0 :Text;         # name
  open @1 :Bool = true;
  token @2 :Text;        # unique per command
}

struct ShowPolicy {
}

struct ShowStatus {
}

struct ShowTimeline {
  afterSequence @0 :UInt64;  # of the daemon's events
}

struct OperatorRequest {
  union {
    applyPolicy @0 :ApplyPolicy;
    undoPolicy @1 :UndoPolicy;
    setZone @2 :SetZone;
    showPolicy @3 :ShowPolicy;
    showStatus @4 :ShowStatus;
    showTimeline @5 :ShowTimeline;
    job @6 :JobRequest;
  }
}

struct MemberStatus {
  member @0 :MemberInfo;
  live @1 :Bool = true;
  draining @2 :Bool;
}

struct ShardStatus {
  shard @0 :ShardId;
  epoch @1 :UInt64;         # number of the ownership
  owner @2 :Text;           # daemon identifier
  state @3 :Text;           # such as serving
  workers @4 :UInt32;       # count
  runningUrgent @5 :UInt32; # count of tasks
  runningBatch @6 :UInt32;  # count of tasks
  waitingBatch @7 :UInt32;  # count of tasks
}

struct TimelineEvent {
  atMs @0 :Int64;        # milliseconds, clock of the process
  sequence @1 :UInt64;   # number of the event in its process
  process @2 :Text;      # identifier
  name @3 :Text;         # such as request_started
  request @4 :Text;      # identifier
  task @5 :Text;         # identifier
  detail @6 :Text;       # for people
}

struct OperatorReply {
  status @0 :CallStatus;
  reason @1 :Text;                 # for people
  version @2 :UInt64;              # current, of the policy
  policy @3 :PolicyDocument;
  members @4 :List(MemberStatus);
  shards @5 :List(ShardStatus);
  events @6 :List(TimelineEvent);
  job @7 :JobStatus;
}
