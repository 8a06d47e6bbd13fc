package org.comfreygap.testkit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.comfreygap.decisions.CrashCauses;
import org.comfreygap.decisions.Quarantine;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.protocol.generated.BeganReport;
import org.comfreygap.protocol.generated.BeginReply;
import org.comfreygap.protocol.generated.BeginRequest;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.protocol.generated.ControlService;
import org.comfreygap.protocol.generated.CrashReply;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.CreditExchange;
import org.comfreygap.protocol.generated.CreditGrant;
import org.comfreygap.protocol.generated.CreditItem;
import org.comfreygap.protocol.generated.CreditReply;
import org.comfreygap.protocol.generated.EndpointLeaseReply;
import org.comfreygap.protocol.generated.EndpointLeaseRequest;
import org.comfreygap.protocol.generated.FinishRequest;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.LedgerState;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.NotLeader;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.PartBan;
import org.comfreygap.protocol.generated.PermitReply;
import org.comfreygap.protocol.generated.PermitRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.StoredAnswer;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.StreamLookup;
import org.comfreygap.protocol.generated.StreamOrigin;
import org.comfreygap.protocol.generated.SuspectParts;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.ThriftServer;
import org.comfreygap.settings.SettingsView;

/**
 * An in-memory control instance behind the Thrift interface, with fault injection.
 *
 * <pre>{@code
 * FakeControl control = FakeControl.start(security);
 * control.put("/teams/blue", "{}");
 * control.fault(FakeControl.Fault.NOT_LEADER);
 * }</pre>
 *
 * <p>It keeps settings, members, customer credit (unlimited for customers without limits), a
 * request ledger and a quarantine list, and records the calls it receives. Thread safety: all
 * methods are synchronized on this object.
 *
 * @since 0.1
 */
public final class FakeControl implements ControlService.Iface, AutoCloseable {

  /** Lifetime of a credit grant in milliseconds. */
  public static final long GRANT_LIFETIME_MILLIS = 2_000;

  private final List<Change> changes = new ArrayList<>();
  private final Map<String, Member> members = new LinkedHashMap<>();
  private final Map<String, HeartbeatRequest> heartbeats = new HashMap<>();
  private final Map<String, Bucket> buckets = new HashMap<>();
  private final Map<String, CreditReply> creditReplies = new HashMap<>();
  private final Map<String, Long> creditSequences = new HashMap<>();
  private final List<CreditItem> creditItems = new ArrayList<>();
  private final List<CrashReport> crashes = new ArrayList<>();
  private final List<FinishRequest> finishedRequests = new ArrayList<>();
  private final Map<String, LedgerEntry> ledger = new HashMap<>();
  private final CrashCauses causes = new CrashCauses();
  private final StreamOrigins streams = new StreamOrigins();
  private final Map<String, Long> quarantined = new HashMap<>();
  private final Map<String, Long> sentQuarantineVersions = new HashMap<>();
  private SettingsView settings = SettingsView.empty();
  private long quarantineVersion = 1;
  private long membershipVersion = 1;
  private Fault fault = Fault.NONE;
  private boolean endingLongPolls;
  private ThriftServer server;

  private FakeControl() {}

  /** Faults that can be injected. */
  public enum Fault {
    NONE,
    /** Every call fails with {@code NotLeader}, without naming a leader. */
    NOT_LEADER,
    /** Every call blocks for longer than any caller's timeout. */
    SILENT,
    /** Only heartbeats and watches succeed; all other calls fail with {@code NotLeader}. */
    ONLY_HEARTBEATS
  }

  /** Starts an instance on a free loopback port. */
  public static FakeControl start(PeerSecurity security) throws IOException {
    FakeControl control = new FakeControl();
    control.server =
        ThriftServer.start(
            "fake-control",
            new InetSocketAddress("127.0.0.1", 0),
            security,
            new ControlService.Processor<>(control));
    return control;
  }

  /** Returns the Thrift address. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Writes a settings document and returns the new revision. */
  public synchronized long put(String path, String document) {
    return applyChange(
        new Change(path, ChangeKind.PUT, settings.revision() + 1).setDocument(document));
  }

  /** Deletes a settings document and returns the new revision. */
  public synchronized long delete(String path) {
    return applyChange(new Change(path, ChangeKind.DELETE, settings.revision() + 1));
  }

  /** Sets the active fault. */
  public synchronized void fault(Fault next) {
    fault = next;
    notifyAll();
  }

  /** Makes long polls return immediately, so that clients of this instance can stop quickly. */
  public synchronized void endLongPolls() {
    endingLongPolls = true;
    notifyAll();
  }

  /** Adds or updates the member for the sidecar of {@code endpoint}. */
  public synchronized void addSidecar(String endpoint, String zone, MemberState state) {
    String id = "sidecar-" + endpoint;
    ProcessIdentity identity =
        new ProcessIdentity(id, ProcessKind.SIDECAR, "start-1", zone, "127.0.0.1:1", "127.0.0.1:2")
            .setEndpoint(endpoint);
    members.put(id, new Member(identity, state, settings.revision()));
    membershipVersion++;
  }

  /** Quarantines {@code fingerprint} for the given time. */
  public synchronized void quarantine(String fingerprint, Duration time) {
    quarantined.put(fingerprint, time.toMillis());
    quarantineVersion++;
    notifyAll();
  }

  /** Returns the last heartbeat of a process. */
  public synchronized Optional<HeartbeatRequest> lastHeartbeat(String processId) {
    return Optional.ofNullable(heartbeats.get(processId));
  }

  /** Returns all credit items received, without those of repeated exchanges. */
  public synchronized List<CreditItem> creditItems() {
    return List.copyOf(creditItems);
  }

  /** Returns all crash reports received. */
  public synchronized List<CrashReport> crashes() {
    return List.copyOf(crashes);
  }

  /** Returns all {@code finishRequest} calls received. */
  public synchronized List<FinishRequest> finishedRequests() {
    return List.copyOf(finishedRequests);
  }

  /** Returns the revision of the settings. */
  public synchronized long revision() {
    return settings.revision();
  }

  @Override
  public synchronized HeartbeatReply heartbeat(HeartbeatRequest request) throws TException {
    checkLeader(true);
    heartbeats.put(request.getIdentity().getProcessId(), request);
    updateGateway(request);
    return new HeartbeatReply(
        settings.revision(),
        1,
        membershipVersion,
        List.copyOf(members.values()),
        true,
        List.of(Addresses.text(address())));
  }

  /** Lists gateways among the members, as control does. */
  private void updateGateway(HeartbeatRequest request) {
    ProcessIdentity identity = request.getIdentity();
    if (identity.getKind() == ProcessKind.GATEWAY && identity.isSetLinkAddress()) {
      MemberState state = request.isLeaving() ? MemberState.LEAVING : MemberState.LIVE;
      members.put(identity.getProcessId(), new Member(identity, state, settings.revision()));
    }
  }

  @Override
  public synchronized WatchReply watch(WatchRequest request) throws TException {
    checkLeader(true);
    long end = System.nanoTime() + Duration.ofMillis(request.getWaitMillis()).toNanos();
    while (settings.revision() <= request.getAfterRevision()
        && sentQuarantineVersions.getOrDefault(request.getProcessId(), 0L) >= quarantineVersion) {
      long left = Duration.ofNanos(end - System.nanoTime()).toMillis();
      if (endingLongPolls || left <= 0 || !waitUpTo(left)) {
        break;
      }
    }
    sentQuarantineVersions.put(request.getProcessId(), quarantineVersion);
    boolean snapshot = request.getAfterRevision() == 0;
    List<Change> sent =
        changes.stream().filter(c -> c.getRevision() > request.getAfterRevision()).toList();
    return new WatchReply(settings.revision(), snapshot, sent)
        .setQuarantined(Map.copyOf(quarantined))
        .setParts(suspectParts());
  }

  @Override
  public synchronized CreditReply exchangeCredit(CreditExchange request) throws TException {
    checkLeader(false);
    String caller = request.getGatewayId() + "/" + request.getStartId();
    if (creditSequences.getOrDefault(caller, 0L) == request.getSequence()) {
      return creditReplies.get(caller);
    }
    List<CreditGrant> grants = new ArrayList<>();
    for (CreditItem item : request.getItems()) {
      creditItems.add(item);
      grants.add(bucket(item.getCustomer()).exchange(item));
    }
    CreditReply reply = new CreditReply(request.getSequence(), grants);
    creditSequences.put(caller, request.getSequence());
    creditReplies.put(caller, reply);
    return reply;
  }

  @Override
  public synchronized PermitReply acquireLoadPermit(PermitRequest request) throws TException {
    checkLeader(false);
    return new PermitReply(true, 10_000, 0);
  }

  @Override
  public synchronized void releaseLoadPermit(String permitId) throws TException {
    checkLeader(false);
  }

  @Override
  public synchronized EndpointLeaseReply acquireEndpoint(EndpointLeaseRequest request)
      throws TException {
    checkLeader(false);
    return new EndpointLeaseReply(true, Math.max(1, request.getFencing()), 6_000, 0);
  }

  @Override
  public synchronized BeginReply beginRequest(BeginRequest request) throws TException {
    checkLeader(false);
    String key = request.getCustomer() + "\n" + request.getIdempotencyKey();
    LedgerEntry entry = ledger.get(key);
    if (entry == null) {
      ledger.put(key, new LedgerEntry(request));
      return new BeginReply(LedgerState.STARTED);
    }
    if (!entry.request.getFingerprint().equals(request.getFingerprint())) {
      return new BeginReply(LedgerState.KEY_REUSED);
    }
    if (entry.request.getRequestId().equals(request.getRequestId())) {
      return new BeginReply(LedgerState.STARTED);
    }
    BeginReply reply = new BeginReply(entry.state);
    return entry.answer == null ? reply : reply.setAnswer(entry.answer);
  }

  @Override
  public synchronized void finishRequest(FinishRequest request) throws TException {
    checkLeader(false);
    finishedRequests.add(request);
    String key = request.getCustomer() + "\n" + request.getIdempotencyKey();
    LedgerEntry entry = ledger.get(key);
    if (request.getOutcome() == Outcome.NOT_RUN) {
      ledger.remove(key);
    } else if (entry != null) {
      entry.state = request.getOutcome() == Outcome.RAN ? LedgerState.DONE : LedgerState.UNKNOWN;
      entry.answer = request.getAnswer();
    }
  }

  @Override
  public synchronized CrashReply reportCrash(CrashReport report) throws TException {
    checkLeader(false);
    crashes.add(report);
    long now = System.nanoTime();
    long at = now - TimeUnit.MILLISECONDS.toNanos(report.getCrashedMillisAgo());
    Quarantine.Crash crash =
        new Quarantine.Crash(report.getEndpoint(), report.getEndedBootId(), at);
    Map<String, List<String>> parts = report.isSetParts() ? report.getParts() : Map.of();
    List<SuspectRequest> suspects =
        report.getFingerprints().stream()
            .map(one -> new SuspectRequest(one, parts.getOrDefault(one, List.of())))
            .toList();
    Map<String, Integer> began = report.isSetBegan() ? report.getBegan() : Map.of();
    List<String> banned = causes.crashed(crash, suspects, began, now);
    Duration duration = Duration.ofNanos(Quarantine.Bounds.DEFAULT.quarantineNanos());
    banned.forEach(fingerprint -> quarantine(fingerprint, duration));
    partsChanged();
    return new CrashReply(banned);
  }

  @Override
  public synchronized void reportBegan(BeganReport report) throws TException {
    checkLeader(false);
    long now = System.nanoTime();
    causes.parts().beganEarlier(report.getEarlier(), now);
    causes.parts().began(report.getBegan(), now);
    partsChanged();
  }

  @Override
  public synchronized StreamBatchReply recordStreams(StreamBatch batch) throws TException {
    checkLeader(false);
    long now = System.nanoTime();
    batch
        .getListed()
        .forEach(
            (prefix, listed) ->
                streams.inService(
                    prefix, listed.stream().map(FakeControl::toOrigin).toList(), now));
    batch
        .getRecords()
        .forEach(
            one ->
                streams.record(one.getRequestId(), one.getRoute(), toOrigin(one.getOrigin()), now));
    StreamBatchReply reply = new StreamBatchReply(new HashMap<>(), new HashMap<>());
    for (StreamLookup lookup : batch.getLookups()) {
      Optional<Origin> found =
          lookup.isSetRequestId()
              ? streams.resolve(lookup.getRequestId(), lookup.getRoute(), now)
              : streams.resolveUnnamed(lookup.getRoute(), now);
      found.ifPresent(origin -> reply.putToFound(lookup.getNumber(), toMessage(origin)));
    }
    streams
        .bases(batch.getListed().keySet(), now)
        .forEach((prefix, origin) -> reply.putToBases(prefix, toMessage(origin)));
    return reply;
  }

  /** Returns the number of streams on record. */
  public synchronized int recordedStreams() {
    return streams.entries().size();
  }

  private static Origin toOrigin(StreamOrigin message) {
    return new Origin(message.getPool(), message.getVersion());
  }

  private static StreamOrigin toMessage(Origin origin) {
    return new StreamOrigin(origin.pool(), origin.version());
  }

  private void partsChanged() {
    quarantineVersion++;
    notifyAll();
  }

  private SuspectParts suspectParts() {
    long now = System.nanoTime();
    List<PartBan> bans =
        causes.parts().bans().stream()
            .map(
                ban ->
                    new PartBan(
                        ban.parts(),
                        Math.max(0, TimeUnit.NANOSECONDS.toMillis(ban.fromNanos() - now)),
                        TimeUnit.NANOSECONDS.toMillis(ban.untilNanos() - now)))
            .toList();
    return new SuspectParts(causes.parts().version(), bans, List.copyOf(causes.parts().watched()));
  }

  @Override
  public void close() throws IOException {
    fault(Fault.NONE);
    server.close();
  }

  private long applyChange(Change change) {
    settings = settings.with(List.of(change), change.getRevision());
    changes.add(change);
    notifyAll();
    return settings.revision();
  }

  private void checkLeader(boolean heartbeatOrWatch) throws NotLeader {
    if (fault == Fault.NOT_LEADER || fault == Fault.ONLY_HEARTBEATS && !heartbeatOrWatch) {
      throw new NotLeader();
    }
    while (fault == Fault.SILENT && waitUpTo(60_000)) {
      continue;
    }
  }

  private boolean waitUpTo(long millis) {
    try {
      wait(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Bucket bucket(String customer) {
    return buckets.computeIfAbsent(customer, c -> new Bucket(c, settings));
  }

  private static final class LedgerEntry {

    private final BeginRequest request;
    private LedgerState state = LedgerState.IN_PROGRESS;
    private StoredAnswer answer;

    LedgerEntry(BeginRequest request) {
      this.request = request;
    }
  }

  /** Token bucket with the limits that the customer had at its first exchange. */
  private static final class Bucket {

    private static final long UNLIMITED = 1_000_000_000L;

    private final String customer;
    private final long rate;
    private final long burst;
    private double level;
    private long refilledAtNanos = System.nanoTime();

    Bucket(String customer, SettingsView settings) {
      this.customer = customer;
      this.rate = settings.limits(customer).map(l -> l.tokensPerSecond()).orElse(UNLIMITED);
      this.burst = settings.limits(customer).map(l -> l.burstTokens()).orElse(UNLIMITED);
      this.level = burst;
    }

    CreditGrant exchange(CreditItem item) {
      long now = System.nanoTime();
      level += (now - refilledAtNanos) / 1e9 * rate + item.getReturned() + item.getRefunded();
      level = Math.min(level, burst);
      refilledAtNanos = now;
      long granted = (long) Math.min(item.getWanted(), level);
      level -= granted;
      double shortfall = Math.min(item.getWanted(), burst) - granted;
      long retry = shortfall <= 0 ? 0 : Math.max(1, (long) (shortfall * 1_000 / rate));
      return new CreditGrant(customer, granted, GRANT_LIFETIME_MILLIS, retry, rate, burst);
    }
  }
}
