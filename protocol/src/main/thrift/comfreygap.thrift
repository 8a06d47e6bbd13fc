// Messages between comfreygap processes. The generated Java code is committed; regenerate it with
// bin/generate-protocol (thrift 0.17.0).
namespace java org.comfreygap.protocol.generated

// ---------------------------------------------------------------- shared

/** What is known about whether a request ran at an endpoint. */
enum Outcome { NOT_RUN = 0, RAN = 1, UNKNOWN = 2 }

enum Priority { URGENT = 0, NORMAL = 1, DEFERRABLE = 2 }

/** How the request reaches the endpoint. */
enum Route { CHAT_COMPLETIONS = 0, COMPLETIONS = 1, SERVICE = 2 }

enum ProcessKind { GATEWAY = 0, SIDECAR = 1, CONTROL = 2 }

enum MemberState { LIVE = 0, SUSPECT = 1, LEAVING = 2, GONE = 3 }

/** The callee is not the leader, or has no valid leader lease. */
exception NotLeader {
  1: optional string leaderAddress
}

/** The call is malformed or breaks a documented bound. */
exception InvalidCall {
  1: required string message
}

// ---------------------------------------------------------------- gateway to sidecar

/** One attempt to run a request at one endpoint. Identified by attemptId, accepted at most once. */
struct AttemptRequest {
  1: required string attemptId
  2: required string requestId
  3: required string gatewayId
  /** Full customer id team/customer; empty on an open route without a key. */
  4: required string customer
  5: required Route route
  /** team/adapter; empty for SERVICE. */
  6: optional string adapter
  7: optional string version
  /** Weight store location of the adapter version. */
  8: optional string source
  /** For SERVICE: the service name, method, and path with query below /services/{name}. */
  9: optional string serviceName
  10: optional string method
  11: optional string path
  /** Allow-listed headers only. */
  12: optional map<string, string> headers
  13: optional binary body
  14: required Priority priority
  15: required bool idempotent
  /** Time left for the whole attempt, in milliseconds, measured from receipt. */
  16: required i64 deadlineMillis
  /** Prompt plus maximum output, in tokens. */
  17: required i64 reservedTokens
  /** Hash over customer, adapter, version and body. */
  18: required string fingerprint
  /** Run with no other crash suspect at the same time on the endpoint. */
  19: optional bool isolated = false
  /** Only attach to an attempt the sidecar already knows; never start one. */
  20: optional bool attachOnly = false
  /** Byte offset of the answer from which to send data. */
  21: optional i64 resumeOffset = 0
  /** Settings revision the gateway admitted the request under. */
  22: required i64 settingsRevision
  /** Id of the key (not the key), so that the sidecar can check it at dispatch; empty if none. */
  23: optional string keyId
  24: optional bool stream = false
  /** Endpoint the gateway chose; a sidecar serving another endpoint refuses. */
  25: required string endpoint
}

enum RefusalReason {
  QUEUE_FULL = 0, ZONE_OUT = 1, LEAVING = 2, COLD = 3, STALE_SETTINGS = 4, NO_LEASE = 5,
  LOAD_FAILED = 6, LOAD_DELAYED = 7, DEADLINE = 8, KEY_WITHDRAWN = 9, WRONG_ENDPOINT = 10,
  UNKNOWN_ATTEMPT = 11, CANCELLED = 12, ENDPOINT_UNREACHABLE = 13, QUARANTINED = 14, STOPPING = 15,
  SHED = 16, SUSPECT_BUSY = 17
}

/** The sidecar's view of its endpoint; a hint that corrects the gateway's view. */
struct EndpointReport {
  1: required string endpoint
  2: required string bootId
  /** Rises with each report of one sidecar process. */
  3: required i64 sequence
  4: required i32 queued
  5: required i32 running
  /** Running bound in force now: the smaller of maxBatch and the cold-start ramp. */
  6: required i32 limit
  7: required i32 freeSlots
  /** Immutable names team/adapter@version resident now. */
  8: required list<string> resident
  9: optional list<string> loading
  10: optional i64 estimatedWaitMillis
  11: optional bool ready = true
}

struct FrameHead {
  1: required i32 status
  2: optional map<string, string> headers
  3: required string bootId
  /** Milliseconds the attempt waited for an adapter load; 0 if it was resident. */
  4: optional i64 loadWaitMillis = 0
  5: optional i64 queueWaitMillis = 0
}

struct FrameData {
  1: required i64 offset
  2: required binary bytes
}

struct FrameBeat {
  1: required i32 queuePosition
}

struct FrameEnd {
  1: required i64 totalBytes
  2: required i64 tokensUsed
  3: optional EndpointReport report
}

struct FrameRefusal {
  1: required RefusalReason reason
  2: required Outcome outcome
  3: optional i64 retryAfterMillis
  4: optional EndpointReport report
  5: optional string message
}

struct FrameFailure {
  1: required Outcome outcome
  2: required string message
  /** The endpoint's boot id changed while the attempt ran: it may have crashed the endpoint. */
  3: optional bool endpointCrashed = false
  4: optional EndpointReport report
}

union FrameBody {
  1: FrameHead head
  2: FrameData data
  3: FrameBeat beat
  4: FrameEnd finish
  5: FrameRefusal refusal
  6: FrameFailure failure
}

struct AttemptFrame {
  1: required string attemptId
  2: required FrameBody body
}

struct CancelRequest {
  1: required string attemptId
  2: required string reason
}

struct CancelReply {
  1: required string attemptId
  2: required Outcome outcome
  3: optional EndpointReport report
}

// ---------------------------------------------------------------- processes to control

struct ProcessIdentity {
  1: required string processId
  2: required ProcessKind kind
  /** New for each start of the process. */
  3: required string startId
  4: required string zone
  /** ip:port of the data or RPC port. */
  5: required string address
  /** ip:port of the admin HTTP port (metrics, health, time line). */
  6: required string adminAddress
  /** For a sidecar: its endpoint. */
  7: optional string endpoint
  /** For a control instance: id of its replica of the log. */
  8: optional string replicaId
  /** For a control instance: ip:port of the replica. */
  9: optional string replicationAddress
  /** For a gateway: ip:port at which it grants sends to endpoints with a request limit. */
  10: optional string linkAddress
}

struct Member {
  1: required ProcessIdentity identity
  2: required MemberState state
  3: required i64 revisionInForce
  4: optional EndpointReport report
}

/** Requests that began to run in one window of time, as one gateway has seen them. */
struct WindowUsage {
  /** Number of the window: its start since 1970 divided by the length of a window. */
  1: required i64 window
  /** All requests that began in the window so far, by customer; a later report replaces this one. */
  2: required map<string, i64> begun
}

/** Load of the endpoints of one pool in one availability zone, as one gateway sees it. */
struct PoolDemand {
  1: required string pool
  2: required string zone
  /** Attempts of this gateway in progress there. */
  3: required i32 inProgress
  /** Requests that wait at this gateway for an endpoint of the pool; 0 in zones but its own. */
  4: required i32 waiting
  /** Requests refused since the last heartbeat for lack of room; 0 in zones but its own. */
  5: required i32 refused
  /** Endpoints that accept work there, by the platform's list, and their slots together. */
  6: required i32 endpoints
  7: required i32 slots
}

struct HeartbeatRequest {
  1: required ProcessIdentity identity
  2: required i64 revisionInForce
  3: required bool leaving
  /** Newest membership version the caller holds; 0 for none. */
  4: required i64 membershipVersion
  5: optional EndpointReport report
  /** For a gateway that counts usage: the windows that are not yet closed. */
  6: optional list<WindowUsage> usage
  /** For a gateway: the load of the pools whose number of endpoints is ordered. */
  7: optional list<PoolDemand> demand
  /** Time of day at the caller, Unix milliseconds. */
  8: optional i64 wallMillis
}

struct HeartbeatReply {
  /** Newest committed settings revision at the leader. */
  1: required i64 committedRevision
  2: required i64 term
  3: required i64 membershipVersion
  /** Members changed since the caller's version; everything when full is set. */
  4: required list<Member> members
  5: required bool full
  6: required list<string> controlAddresses
  /** Time of day of the fleet, Unix milliseconds: the median over the reporting processes. */
  7: optional i64 fleetMillis
}

enum ChangeKind { PUT = 0, DELETE = 1 }

struct Change {
  1: required string path
  2: required ChangeKind kind
  /** JSON document, for PUT. */
  3: optional string document
  4: required i64 revision
}

struct WatchRequest {
  1: required string processId
  /** Last revision applied; 0 asks for a snapshot. */
  2: required i64 afterRevision
  /** Longest time to wait for a change, milliseconds. */
  3: required i32 waitMillis
}

struct WatchReply {
  1: required i64 revision
  /** True when changes holds the whole tree at revision. */
  2: required bool snapshot
  3: required list<Change> changes
  /** Quarantined fingerprints in force, with remaining milliseconds; set when it changed or on a snapshot. */
  4: optional map<string, i64> quarantined
  5: optional SuspectParts parts
}

/** Parts of prompts of which no request may hold all. */
struct PartBan {
  1: required list<string> parts
  /** Time until the ban takes effect, milliseconds; 0 when it is in effect. */
  2: required i64 startsInMillis
  3: required i64 remainingMillis
}

/** Bans of parts of prompts that crash endpoints; a reader ignores a lower version than it has. */
struct SuspectParts {
  1: required i64 version
  2: required list<PartBan> bans
  /** Parts of which gateways report the responses that begin on them. */
  3: required list<string> watched
}

struct CreditItem {
  1: required string customer
  /** Tokens used since the last exchange, out of earlier grants. */
  2: required i64 used
  /** Granted tokens given back unused. */
  3: required i64 returned
  /** Reserved tokens of finished requests that turned out unused. */
  4: required i64 refunded
  /** Tokens wanted now. */
  5: required i64 wanted
  /** Priority of the most urgent waiting request. */
  6: required Priority priority
  /** Least of the wanted tokens with which a waiting request is served; 0 when none waits. */
  7: optional i64 least = 0
}

struct CreditExchange {
  1: required string gatewayId
  2: required string startId
  /** Rises by one with each exchange; a repeat gets the first answer. */
  3: required i64 sequence
  4: required list<CreditItem> items
}

struct CreditGrant {
  1: required string customer
  2: required i64 granted
  /** Lifetime of the grant, measured by the gateway from the moment it sent the exchange. */
  3: required i64 lifetimeMillis
  /** When nothing or too little was granted: earliest useful retry. */
  4: required i64 retryAfterMillis
  5: required i64 tokensPerSecond
  6: required i64 burstTokens
}

struct CreditReply {
  1: required i64 sequence
  2: required list<CreditGrant> grants
}

struct PermitRequest {
  1: required string permitId
  2: required string endpoint
  /** Immutable name team/adapter@version. */
  3: required string adapterVersion
  4: required string customer
  5: required Priority priority
  6: required i32 waitMillis
}

struct PermitReply {
  1: required bool granted
  2: required i64 lifetimeMillis
  3: required i64 retryAfterMillis
  /** Set when another endpoint is loading the same adapter version now. */
  4: optional string loadingAt
}

struct EndpointLeaseRequest {
  1: required string endpoint
  2: required string processId
  3: required string startId
  /** Fencing number held, 0 when first asking. */
  4: required i64 fencing
}

struct EndpointLeaseReply {
  1: required bool granted
  2: required i64 fencing
  /** Lifetime measured by the holder from the moment it sent the request. */
  3: required i64 lifetimeMillis
  /** When not granted: how long the present holder's lease can still run. */
  4: required i64 retryAfterMillis
}

enum LedgerState { STARTED = 0, IN_PROGRESS = 1, DONE = 2, UNKNOWN = 3, KEY_REUSED = 4, FULL = 5 }

struct StoredAnswer {
  1: required i32 status
  2: required map<string, string> headers
  3: required binary body
}

struct BeginRequest {
  1: required string customer
  2: required string idempotencyKey
  3: required string fingerprint
  4: required string gatewayId
  5: required string startId
  6: required string requestId
}

struct BeginReply {
  1: required LedgerState state
  2: optional StoredAnswer answer
  3: optional i64 retryAfterMillis
}

struct FinishRequest {
  1: required string customer
  2: required string idempotencyKey
  3: required string requestId
  /** NOT_RUN removes the entry, RAN stores the answer, UNKNOWN closes it without one. */
  4: required Outcome outcome
  5: optional StoredAnswer answer
}

struct CrashReport {
  /** Identifies the crash: endpoint and the boot id that ended, or its time where that is empty. */
  1: required string endpoint
  2: required string endedBootId
  3: required list<string> fingerprints
  4: required string reporter
  /** Milliseconds since the endpoint ended, when the report is sent. */
  5: optional i64 crashedMillisAgo = 0
  /** Parts of the prompts, by fingerprint of the request; without requests that hold none. */
  6: optional map<string, list<string>> parts
  /** Responses that began lately at the reporter, by part; only parts of these requests. */
  7: optional map<string, i32> began
}

/** Responses that began on watched parts at one gateway. */
struct BeganReport {
  1: required string reporter
  /** Those before the part was watched, by part. */
  2: required map<string, i32> earlier
  /** Those since the last report, by part. */
  3: required map<string, i32> began
}

struct CrashReply {
  1: required list<string> quarantined
}

/** Where a stream began: a pool, and the version of the endpoint's software. */
struct StreamOrigin {
  1: required string pool
  2: required string version
}

struct StreamRecord {
  1: required string requestId
  /** Key of the path prefix of the route. */
  2: required string route
  3: required StreamOrigin origin
}

/** Asks where the stream began that a caller takes up again. */
struct StreamLookup {
  /** Position of the reply. */
  1: required i32 number
  /** Key of the path. */
  2: required string route
  /** Request that brought the first event; unset where the caller names none. */
  3: optional string requestId
}

/** Streams that a gateway begins or is asked to continue; a record is in force with the reply. */
struct StreamBatch {
  1: required string gatewayId
  2: required list<StreamRecord> records
  3: required list<StreamLookup> lookups
  /** Origins of the endpoints that the gateway lists, by path prefix of the route. */
  4: required map<string, list<StreamOrigin>> listed
}

struct StreamBatchReply {
  /** By number of the lookup; without those whose origin is not known. */
  1: required map<i32, StreamOrigin> found
  /** Origin of the streams that are not recorded, by path prefix; longer prefixes come with no origin. */
  2: required map<string, StreamOrigin> bases
}

struct TimelineEvent {
  1: required string processId
  /** Hybrid logical clock: physical milliseconds in the upper 48 bits, counter in the lower 16. */
  2: required i64 hlc
  /** Number in the event catalogue. */
  3: required i32 number
  4: required string name
  5: required map<string, string> fields
}

// Gateway to residency server: one connection, messages in both directions.

struct ResidentAdapter {
  1: required string model
  2: required string adapter
  3: required i64 version
}

/** What a response of an endpoint stated about the requests that it takes, with its age. */
struct LimitStatement {
  /** Requests a second; unset when the response stated no limit. */
  1: optional double perSecond
  /** Time since the request of that response was sent, milliseconds. */
  2: required i64 sentMillisAgo
  /** Time since that response was read, milliseconds. */
  3: required i64 readMillisAgo
}

/** What an endpoint holds and does; sent to each gateway when it changes, and at least each period. */
struct EndpointStatus {
  1: required string instanceId
  /** Start of the endpoint, Unix milliseconds by its own clock; a new one means a new start. */
  2: required i64 bornMillis
  /** False while the endpoint does not answer its sidecar; the other values are then the last ones. */
  3: required bool answering
  4: required i32 running
  5: required i32 waiting
  6: required i64 kvTokensUsed
  7: required i64 kvTokensTotal
  /** Time for which the endpoint stays cold, milliseconds; 0 when it is not cold. */
  8: required i64 coldMillis
  9: required bool leaving
  /** Base models that are loaded. */
  10: required list<string> models
  /** Adapters that are resident and are not about to be unloaded; unset when unchanged. */
  11: optional list<ResidentAdapter> resident
  /** Adapters whose load could begin now; 0 while every place is used by open requests. */
  12: optional i32 loadable
  /** The request limit, as the endpoint last stated it to its sidecar; unset if it never did. */
  13: optional LimitStatement limit
  /** How long work takes there, percent of the usual time, as last stated; unset if it never was. */
  20: optional i32 pacePercent
  /** Age of that statement, milliseconds. */
  21: optional i32 paceMillisAgo
  /** Time that reading the prompts granted in the last pause takes at the usual pace. */
  22: optional i32 readingMicros
  /** The usual pace there, percent, from all statements that the sidecar knows. */
  23: optional i32 usualPacePercent
}

/** Asks that an adapter become resident. */
struct AdapterRequest {
  /** Chosen by the gateway, unique on the connection. */
  1: required i64 number
  2: required string model
  3: required string adapter
  /** Least version that serves; 0 for any. */
  4: required i64 leastVersion
}

struct AdapterReply {
  1: required i64 number
  2: required bool resident
  /** Why not, for logs. */
  3: optional string reason
  /** Version that is resident. */
  4: optional i64 version
}

/** Adapters of the requests that the gateway has open at the endpoint; replaces the last one. */
struct AdapterUse {
  1: required list<ResidentAdapter> used
}

/** Asks for leave to send one request to a cold endpoint. */
struct ColdPermitRequest {
  1: required i64 number
  /** Time for which the gateway takes the endpoint for cold, milliseconds. */
  2: optional i64 coldMillis
}

struct ColdPermitReply {
  1: required i64 number
  2: required bool granted
  3: required i64 retryAfterMillis
}

/** Asks for leave to send a prompt to an endpoint whose running streams must not pause for long. */
struct ReadingPermitRequest {
  1: required i64 number
  /** Time to read the prompt at the usual pace. */
  2: required i32 readMicros
  /** Time between two events of a stream at the usual pace while no prompt is read. */
  3: required i32 eventMicros
  /** Longest pause between events that callers accept. */
  4: required i32 pauseMicros
  /** Longest time until the send. */
  5: required i32 maxWaitMicros
  /** True when the prompt is to be sent at the latest then, whatever it costs others. */
  6: required bool mustSend
  /** Hash of the adapter that the request needs; unset without one. */
  7: optional i64 adapterHash
  /** True while too many streams of the pool pause too long, as this gateway sees it. */
  8: optional bool pausesTooLong
}

struct ReadingPermitReply {
  1: required i64 number
  2: required bool granted
  /** Time until the send, or without a grant until one may be granted. */
  3: required i32 waitMicros
  /** Time that reading the prompts granted in the last pause takes at the usual pace. */
  4: required i32 readingMicros
  /** The newest pace that the sidecar knows, percent; unset if none was stated. */
  5: optional i32 pacePercent
  /** Age of that pace, milliseconds. */
  6: optional i32 paceMillisAgo
  /** True when the adapter takes so much of the endpoint that it should get a further home. */
  7: optional bool crowded
}

/** Tells the sidecar the pace that the head of a response stated. */
struct PaceObservation {
  1: required i32 pacePercent
}

/** Tells the gateway that grants sends to an endpoint of a changed limit, or all others from there. */
struct LimitReport {
  1: required string instanceId
  2: required string zone
  3: required LimitStatement statement
}

/** Asks the gateway that grants sends to an endpoint with a request limit for one send. */
struct SendPermitRequest {
  1: required i64 number
  2: required string instanceId
  3: required string zone
  4: required LimitStatement statement
  /** Hash of the customer, among whom sends are shared fairly. */
  5: required i64 customerHash
  /** Longest time until the send, milliseconds. */
  6: required i64 maxWaitMillis
}

struct SendPermitReply {
  1: required i64 number
  2: required bool granted
  /** Time until the send, or without a grant until the next one may be granted, milliseconds. */
  3: required i64 waitMillis
  /** The newest statement known to the gateway that grants; unset without any. */
  4: optional LimitStatement newest
}

union ResidencyMessage {
  1: EndpointStatus status
  2: AdapterRequest adapterRequest
  3: AdapterReply adapterReply
  4: AdapterUse adapterUse
  5: ColdPermitRequest coldPermitRequest
  6: ColdPermitReply coldPermitReply
  7: LimitReport limitReport
  8: SendPermitRequest sendPermitRequest
  9: SendPermitReply sendPermitReply
  20: ReadingPermitRequest readingPermitRequest
  21: ReadingPermitReply readingPermitReply
  22: PaceObservation paceObservation
}

service ControlService {
  HeartbeatReply heartbeat(1: HeartbeatRequest request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  WatchReply watch(1: WatchRequest request) throws (1: InvalidCall invalid)
  CreditReply exchangeCredit(1: CreditExchange request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  PermitReply acquireLoadPermit(1: PermitRequest request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  void releaseLoadPermit(1: string permitId) throws (1: NotLeader notLeader)
  EndpointLeaseReply acquireEndpoint(1: EndpointLeaseRequest request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  BeginReply beginRequest(1: BeginRequest request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  void finishRequest(1: FinishRequest request) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  CrashReply reportCrash(1: CrashReport report) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  void reportBegan(1: BeganReport report) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
  StreamBatchReply recordStreams(1: StreamBatch batch) throws (1: NotLeader notLeader, 2: InvalidCall invalid)
}

// ---------------------------------------------------------------- control to control

struct VoteRequest {
  1: required i64 term
  2: required string candidate
  3: required i64 lastIndex
  4: required i64 lastTerm
  /** Asks whether a vote would be granted, without changing the term. */
  5: required bool preVote
  /** Set on a hand-over by the leader: the voter ignores its leader lease. */
  6: required bool transfer
}

struct VoteReply {
  1: required i64 term
  2: required bool granted
  3: required string voter
}

enum EntryKind { NOOP = 0, COMMAND = 1, MEMBERSHIP = 2 }

struct LogEntry {
  1: required i64 index
  2: required i64 term
  3: required EntryKind kind
  4: required binary payload
}

struct AppendRequest {
  1: required i64 term
  2: required string leader
  3: required i64 previousIndex
  4: required i64 previousTerm
  5: required list<LogEntry> entries
  6: required i64 commitIndex
  /** Echoed in the reply; the leader dates its lease from the send time of this round. */
  7: required i64 round
}

struct AppendReply {
  1: required i64 term
  2: required bool success
  /** Last index known to match, or a hint where to continue. */
  3: required i64 matchIndex
  4: required i64 round
  5: required string follower
}

struct SnapshotChunk {
  1: required i64 term
  2: required string leader
  3: required i64 lastIndex
  4: required i64 lastTerm
  5: required binary membership
  6: required i64 offset
  7: required binary bytes
  8: required bool last
  9: required i64 round
}

struct SnapshotReply {
  1: required i64 term
  2: required bool accepted
  3: required i64 nextOffset
  4: required i64 round
}

struct TimeoutNow {
  1: required i64 term
  2: required string leader
}

struct ReplicaMember {
  1: required string replicaId
  2: required string address
  3: required bool voter
  /** ip:port of the HTTP administration API. */
  4: optional string adminAddress
}

struct ReplicaMembership {
  1: required list<ReplicaMember> members
}

service ReplicationService {
  VoteReply requestVote(1: VoteRequest request)
  AppendReply appendEntries(1: AppendRequest request)
  SnapshotReply installSnapshot(1: SnapshotChunk chunk)
  void timeoutNow(1: TimeoutNow request)
}
