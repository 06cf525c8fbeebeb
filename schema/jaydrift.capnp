# Messages between jaydrift's processes, and its JSON documents (policies and
# jobs).
#
# Rules for changes, so that processes of two versions can exchange messages:
#
# - Fields, union members and enumerants are only added, with the next number.
#   They are never renumbered, and their types never change.
# - A field that is no longer used keeps its number and is renamed to
#   `obsoleteN`.
# - The default of a new field has the meaning that a message without the field
#   had before.
# - A receiver refuses a union member or enumerant that it does not know, with
#   an error for that call alone. A new one is therefore sent only after every
#   receiver has been replaced.
# - Names of fields and enumerants are part of the JSON form of policies and
#   jobs, so those in use are kept.
#
# Units: fields ending in `Ms` are milliseconds, in `Mb` 2^20 bytes, in
# `Permille` thousandths. `millicores` are thousandths of a processor. A point
# in time counts from the epoch of the clock that its comment names. A `zone` is
# an availability zone. Counts, identifiers, versions, epochs, generations and
# revisions have no unit.
#
# Limits: a message holds at most 64 MB; a payload, answer, value or text 16 MB.

@0xaa8d0b6ac5a48e31;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("jaydrift::net::schema");

# Interfaces

interface Store {
  # Served by the stand-in for the platform's key-value store and VM list.
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
  # Scheduling class of a task; a policy gives each class its share of a VM.

  urgent @0;
  service @1;
  batch @2;
  background @3;
}

enum CallStatus {
  # Result of a call about a job or a policy.

  ok @0;        # done and durable; a policy is in force everywhere
  refused @1;   # nothing changed
  conflict @2;  # refused because a newer version exists
  pending @3;   # durable or in progress, but not in force everywhere yet
  notFound @4;
}

enum JobState {
  # State of a batch job.

  waiting @0;
  running @1;
  finished @2;
  cancelled @3;
  parked @4;     # will not run; the reason is in the job's status
}

enum RequestOutcome {
  # What a caller is told about its request.

  completed @0;  # the request ran; its whole answer is attached
  notRun @1;     # the request was not run and will not run
  unknown @2;    # the request may have run
}

struct Resources {
  # Amount of processors, memory and accelerators of a VM or a task.

  millicores @0 :Int64;    # thousandths of a processor
  memoryMb @1 :Int64;      # 2^20 bytes
  accelerators @2 :Int64;  # count
}

struct ShardId {
  # Identifies a shard: a set of workers of one region with their tasks.

  region @0 :Text;    # name
  number @1 :UInt32;  # index within the region
}

struct OwnershipTerm {
  # Names the owner of a shard; part of every request to a worker.

  shard @0 :ShardId;
  epoch @1 :UInt64;       # number of the ownership; each new owner raises it by
                          # at least one
  owner @2 :Text;         # identifier of the daemon
  generation @3 :UInt64;  # number of the voter set that the sender knows
}

struct JobSpec {
  # A batch job: a number of equal tasks.

  id @0 :Text;               # identifier, unique per deployment
  kind @1 :Text;             # name of a kind in the policy
  team @2 :Text;             # name of the team
  homeRegion @3 :Text;       # name; empty means the region of the receiving
                             # daemon
  taskCount @4 :UInt32 = 1;  # count
  demand @5 :Resources;      # of each task
  runTimeMs @6 :Int64;       # milliseconds, declared by the submitter, of each
                             # task
}

struct JobStatus {
  # Progress of a batch job.

  id @0 :Text;           # identifier of the job
  state @1 :JobState;
  taskCount @2 :UInt32;  # count of tasks
  finished @3 :UInt32;   # count of tasks
  running @4 :UInt32;    # count of tasks
  evictions @5 :UInt32;  # count
  reason @6 :Text;       # explanation for people: why the job waits or will not
                         # run
}

struct ShowJob {
  # Asks for the status of a job.

  id @0 :Text;          # identifier of the job
  homeRegion @1 :Text;  # name; empty means the region of the receiving daemon
}

struct CancelJob {
  # Cancels a job.

  id @0 :Text;          # identifier of the job
  homeRegion @1 :Text;  # name; empty means the region of the receiving daemon
}

struct JobRequest {
  # Any request about a batch job.

  union {
    submit @0 :JobSpec;
    show @1 :ShowJob;
    cancel @2 :CancelJob;
  }
}

struct JobReply {
  # Reply to a request about a batch job.

  status @0 :CallStatus;
  reason @1 :Text;        # explanation for people
  job @2 :JobStatus;
}

struct MemberInfo {
  # A daemon, as kept in the store and in settings.

  daemon @0 :Text;   # identifier
  address @1 :Text;  # ip:port of its RPC service
  region @2 :Text;   # name
  zone @3 :Text;     # name
}

# Policy documents

struct ZonePolicy {
  # Whether work may start in an availability zone.

  name @0 :Text;         # name of the zone
  region @1 :Text;       # name
  open @2 :Bool = true;  # whether work may start there
}

struct KindPolicy {
  # How work of one kind is treated.

  kind @0 :Text;                   # name
  priority @1 :TaskClass = batch;
  idempotent @2 :Bool;             # whether work may be repeated after a
                                   # possible start
  demand @3 :Resources;            # of one urgent request; batch jobs declare
                                   # their own
}

struct ClassShare {
  # Largest share of each VM that the tasks of a class may hold.

  priority @0 :TaskClass = batch;
  percent @1 :UInt32 = 100;        # hundredths of each VM, at most 100
}

struct TeamQuota {
  # Largest amount of processors that a team's batch tasks may hold.

  team @0 :Text;         # name of the team
  millicores @1 :Int64;  # thousandths of a processor
}

struct PolicyDocument {
  # The operators' policy.

  version @0 :UInt64;           # raised by one with each change
  comment @1 :Text;             # for people: why the operator made this version
  zones @2 :List(ZonePolicy);
  kinds @3 :List(KindPolicy);
  shares @4 :List(ClassShare);
  quotas @5 :List(TeamQuota);
}

# Store

enum StoreOutcome {
  # Result of a request to the store.

  ok @0;
  conflict @1;
  notFound @2;
  leaseExpired @3;
  overloaded @4;
  tooLarge @5;
}

enum VmState {
  # State of a VM in the platform's list.

  live @0;
  leaving @1;  # takes no new work and will be gone soon
  gone @2;
}

struct PutRequest {
  # Writes a value of the store.

  key @0 :Text;                  # path
  value @1 :Data;                # bytes
  hasExpectedRevision @2 :Bool;  # false: written at any revision
  expectedRevision @3 :UInt64;   # revision that the key must have; 0: must not
                                 # exist
  token @4 :Text;                # unique per write, kept with the value to
                                 # resolve a lost answer
  lease @5 :UInt64;              # identifier of the lease whose end deletes the
                                 # key; 0: none
}

struct EraseRequest {
  # Deletes a key of the store.

  key @0 :Text;                  # path
  hasExpectedRevision @1 :Bool;  # false: deleted at any revision
  expectedRevision @2 :UInt64;   # revision that the key must have
}

struct ReadRequest {
  # Reads the keys with a prefix.

  prefix @0 :Text;  # prefix of paths
}

struct WatchRequest {
  # Waits until a key with the prefix changes after a revision.

  prefix @0 :Text;           # prefix of paths
  afterRevision @1 :UInt64;  # revision of the store
}

struct GrantLeaseRequest {
  # Asks the store for a lease.

  timeToLiveMs @0 :Int64;  # milliseconds
}

struct KeepAliveRequest {
  # Extends a lease of the store.

  lease @0 :UInt64;  # identifier of the lease
}

struct ListVmsRequest {
  # Asks for the VMs whose entries changed after a revision.

  afterRevision @0 :UInt64;  # revision of the VM list
}

struct StoreRequest {
  # Any request to the store or the VM list.

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
  # A key of the store with its value.

  key @0 :Text;         # path
  value @1 :Data;       # bytes
  revision @2 :UInt64;  # revision of the key
  token @3 :Text;       # token of the request that wrote the value
}

struct VmInfo {
  # Entry of the platform's VM list, which lags behind.

  worker @0 :Text;         # identifier
  address @1 :Text;        # ip:port of the worker's RPC service
  region @2 :Text;         # name
  zone @3 :Text;           # name
  rack @4 :Text;           # name
  capacity @5 :Resources;
  state @6 :VmState;
}

struct StoreReply {
  # Reply of the store to any request.

  outcome @0 :StoreOutcome;
  revision @1 :UInt64;           # put, conflict: of the key; read, watch: of
                                 # the store; listVms: of the list
  entries @2 :List(StoreEntry);
  deleted @3 :List(Text);        # paths deleted since the revision that a watch
                                 # named
  lease @4 :UInt64;              # identifier of a granted lease
  vms @5 :List(VmInfo);
}

# Worker

enum TaskAction {
  # What an owner can do to a running task.

  throttle @0;
  unthrottle @1;
  checkpoint @2;
  evict @3;
  cancel @4;
}

enum TaskState {
  # State of a task on a worker.

  running @0;
  finished @1;
  failed @2;
  evicted @3;
  leaseLapsed @4;
}

enum WorkerOutcome {
  # Result of a request to a worker. All but `ok`, `failed` and
  # `alreadyStarted` mean that the request changed nothing.

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
  # What a worker needs to know to run a task.

  id @0 :Text;                     # identifier of the task
  kind @1 :Text;                   # name of the kind
  team @2 :Text;                   # name of the team
  priority @3 :TaskClass = batch;
  demand @4 :Resources;
  runTimeMs @5 :Int64;             # milliseconds, declared
  checkpointMs @6 :Int64;          # work done before the last checkpoint,
                                   # milliseconds of run time
}

struct FenceRequest {
  # Raises the epoch of a shard on a worker; the reply lists its tasks.

  term @0 :OwnershipTerm;
}

struct RenewRequest {
  # Extends a shard's lease on a worker.

  term @0 :OwnershipTerm;
  leaseUntilMs @1 :Int64;       # end of the lease, milliseconds, worker's clock
  policyVersion @2 :UInt64;     # of the policy that the owner applies
  acknowledged @3 :List(Text);  # identifiers of tasks whose finish is durable,
                                # so the worker may discard them
}

struct StartRequest {
  # Starts a task.

  term @0 :OwnershipTerm;
  task @1 :TaskSpec;
  attempt @2 :UInt32;       # number of the start of this task
  startBeforeMs @3 :Int64;  # latest start, milliseconds, worker's clock;
                            # refused later
  payload @4 :Data;         # bytes, of an urgent request
}

struct ControlRequest {
  # Asks a worker to act on a running task.

  term @0 :OwnershipTerm;
  task @1 :Text;           # identifier of the task
  attempt @2 :UInt32;      # number of the start of this task
  action @3 :TaskAction;
}

struct WorkerRequest {
  # Any request to a worker.

  union {
    fence @0 :FenceRequest;
    renew @1 :RenewRequest;
    start @2 :StartRequest;
    control @3 :ControlRequest;
  }
}

struct TaskReport {
  # Report of a worker about one of its tasks.

  task @0 :TaskSpec;
  attempt @1 :UInt32;      # number of the start of this task
  state @2 :TaskState;
  shard @3 :ShardId;       # shard that the task is bound to
  checkpointMs @4 :Int64;  # last checkpoint, milliseconds of run time
  answer @5 :Data;         # bytes, of a finished urgent request
}

struct TaskUsage {
  # Measured usage of one task.

  task @0 :Text;                      # identifier of the task
  kind @1 :Text;                      # name of the kind
  millicores @2 :Int64;               # thousandths of a processor
  memoryMb @3 :Int64;                 # 2^20 bytes
  slowdownPermille @4 :Int64 = 1000;  # run time in thousandths of that on an
                                      # idle VM
}

struct UsageReport {
  # Measurement of a worker, which lags behind.

  generation @0 :UInt64;      # number of the report; grows with each one
  measuredAtMs @1 :Int64;     # milliseconds, worker's clock
  tasks @2 :List(TaskUsage);
}

struct WorkerReply {
  # Reply of a worker to any request.

  outcome @0 :WorkerOutcome;
  reason @1 :Text;                # explanation of a refusal or failure, for
                                  # people
  workerClockMs @2 :Int64;        # time of the reply, milliseconds, worker's
                                  # clock
  epoch @3 :UInt64;               # highest that the worker has seen for the
                                  # shard
  policyVersion @4 :UInt64;       # highest that an owner has told the worker
  capacity @5 :Resources;
  used @6 :Resources;
  leaving @7 :Bool;               # whether the VM takes no new work
  tasks @8 :List(TaskReport);
  usage @9 :UsageReport;
  answer @10 :Data;               # bytes, of an urgent request that was started
  remembersAll @11 :Bool = true;  # false for the retention time after a
                                  # restart, when a task that the worker does
                                  # not name may have run there
}

# Peer

struct OwnedShard {
  # A shard that a daemon serves.

  shard @0 :ShardId;
  epoch @1 :UInt64;          # number of the ownership
  policyVersion @2 :UInt64;  # version that the daemon applies to the shard
}

struct Heartbeat {
  # Tells another daemon that the sender is alive and what it serves.

  sender @0 :MemberInfo;
  draining @1 :Bool;            # whether the sender hands its shards over and
                                # takes none
  policyVersion @2 :UInt64;     # version that the sender applies
  shards @3 :List(OwnedShard);
  earlyClosed @4 :List(Text);   # names of zones that the sender treats as
                                # closed although the new policy version is not
                                # durable yet
}

struct UrgentRequest {
  # An urgent request of a caller.

  id @0 :Text;           # identifier, unique per deployment
  kind @1 :Text;         # name of a kind in the policy
  homeRegion @2 :Text;   # name; empty means the region of the receiving daemon
  hasIssuedAt @3 :Bool;  # false: the time is unknown
  issuedAtMs @4 :Int64;  # first attempt of the caller, milliseconds, caller's
                         # clock
  patienceMs @5 :Int64;  # how long the caller waits after the arrival at a
                         # daemon, milliseconds
  payload @6 :Data;      # bytes
}

struct ExecuteRequest {
  # Forwards an urgent request to the owner of its identifier.

  request @0 :UrgentRequest;
  delegated @1 :Bool;         # whether the receiver runs it for a shard of
                              # another region
}

struct QueryRequest {
  # Asks an owner what it knows about a request identifier.

  request @0 :Text;  # identifier of the request
}

struct PolicyUpdate {
  # Tells a daemon of a policy version that is durable.

  policy @0 :PolicyDocument;
  relay @1 :Bool;             # whether the receiver passes it on to the daemons
                              # of its region
}

struct RequestResult {
  # Result of an urgent request.

  outcome @0 :RequestOutcome = notRun;
  answer @1 :Data;                      # bytes
  reason @2 :Text;                      # explanation for people: why it was not
                                        # run or its result is unknown
}

struct RequestRecord {
  # An owner's record of a request identifier.

  id @0 :Text;               # identifier of the request
  worker @1 :Text;           # identifier of the worker
  attempt @2 :UInt32;        # number of the start
  started @3 :Bool;
  finished @4 :Bool;
  result @5 :RequestResult;
}

struct HandOverRequest {
  # Gives a shard to another daemon during a planned stop.

  shard @0 :ShardId;
  epoch @1 :UInt64;                 # number of the ownership
  records @2 :List(RequestRecord);  # what the sender knows about request
                                    # identifiers of the shard
}

struct PeerRequest {
  # Any request between daemons.

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
  # Reply to a request that needs no content.

  accepted @0 :Bool = true;
}

struct PeerReply {
  # Any reply between daemons.

  union {
    acknowledgement @0 :PeerAcknowledgement;
    heartbeat @1 :Heartbeat;
    result @2 :RequestResult;
    job @3 :JobReply;
  }
}

# Operator

struct ApplyPolicy {
  # Makes a document the next policy version.

  policy @0 :PolicyDocument;
  basedOn @1 :UInt64;         # version that the operator saw; another current
                              # one is a conflict
  token @2 :Text;             # unique per command, so that a repeat is applied
                              # once
}

struct UndoPolicy {
  # Makes the previous content the next policy version.

  basedOn @0 :UInt64;  # version that the operator saw
  token @1 :Text;      # unique per command, so that a repeat is applied once
}

struct SetZone {
  # Opens or closes an availability zone, as a new policy version.

  zone @0 :Text;         # name
  open @1 :Bool = true;
  token @2 :Text;        # unique per command, so that a repeat is applied once
}

struct ShowPolicy {
  # Asks for the current policy.
}

struct ShowStatus {
  # Asks for the members, shards and workers that a daemon knows.
}

struct ShowTimeline {
  # Asks for the daemon's timeline events after a sequence number.

  afterSequence @0 :UInt64;  # sequence number of one of the daemon's events
}

struct OperatorRequest {
  # Any request of an operator.

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
  # What a daemon knows about another daemon.

  member @0 :MemberInfo;
  live @1 :Bool = true;
  draining @2 :Bool;      # whether it hands its shards over and takes none
}

struct ShardStatus {
  # What a daemon knows about a shard.

  shard @0 :ShardId;
  epoch @1 :UInt64;          # number of the ownership
  owner @2 :Text;            # identifier of the daemon
  state @3 :Text;            # such as serving, fencing or other
  workers @4 :UInt32;        # count of workers
  runningUrgent @5 :UInt32;  # count of tasks
  runningBatch @6 :UInt32;   # count of tasks
  waitingBatch @7 :UInt32;   # count of tasks
}

struct TimelineEvent {
  # Something that happened in a process.

  atMs @0 :Int64;       # milliseconds, wall clock of the process
  sequence @1 :UInt64;  # number of the event in its process
  process @2 :Text;     # identifier of the process
  name @3 :Text;        # what happened, such as request_started
  request @4 :Text;     # identifier of the request
  task @5 :Text;        # identifier of the task
  detail @6 :Text;      # explanation for people
}

struct OperatorReply {
  # Reply to any request of an operator.

  status @0 :CallStatus;
  reason @1 :Text;                 # for people: why it was refused or is
                                   # pending, with the path of the field
  version @2 :UInt64;              # current version of the policy, also on a
                                   # conflict
  policy @3 :PolicyDocument;
  members @4 :List(MemberStatus);
  shards @5 :List(ShardStatus);
  events @6 :List(TimelineEvent);
  job @7 :JobStatus;
}
