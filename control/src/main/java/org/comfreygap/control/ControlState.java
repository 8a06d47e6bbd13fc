package org.comfreygap.control;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.comfreygap.consensus.StateMachine;
import org.comfreygap.decisions.CrashCauses;
import org.comfreygap.decisions.EndpointLeases;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.decisions.Quarantine;
import org.comfreygap.decisions.RequestLedger;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.decisions.TokenBudget;

/**
 * The replicated state of control: settings tree, fencing numbers, request ledger, quarantine list,
 * credit ceilings, duties of one holder and the addresses of the control instances.
 *
 * <p>Ages are measured in log time, which advances only by the monotonic clocks of leaders, so that
 * a jump of the wall clock neither ends a quarantine nor drops a ledger entry.
 *
 * <p>Invariant: the same commands in the same order produce the same state. Thread safety: one
 * thread applies commands, any thread may read; everything is guarded by the monitor of this
 * object.
 */
@Singleton
final class ControlState implements StateMachine {

  /** Far above the expected 920 endpoints. */
  static final int MAX_ENDPOINTS = 10_000;

  /** Far above the number of customers with limits. */
  static final int MAX_CEILINGS = 20_000;

  private static final int MAX_REPLICAS = 100;

  private final LongSupplier nanoTime;
  private SettingsStore settings = new SettingsStore();
  private RequestLedger ledger = new RequestLedger(RequestLedger.Bounds.DEFAULT);
  private CrashCauses crashes = new CrashCauses();
  private StreamOrigins streams = new StreamOrigins();
  private StreamRoutes streamRoutes = StreamRoutes.none();
  private Map<String, EndpointLeases.Grant> endpoints = new HashMap<>();
  private Map<String, TokenBudget.Ceiling> ceilings = new LinkedHashMap<>();
  private Map<String, ReplicaAddresses> replicas = new LinkedHashMap<>();
  private Optional<SnapshotLine.Publication> publication = Optional.empty();
  private DutyState duties = new DutyState();
  private ScaleState scale = new ScaleState();
  private long logMillis;
  private long appliedNanos;
  private long quarantineVersion;
  private volatile long revision;

  /** Creates an empty state that uses the monotonic clock of the machine. */
  @Inject
  ControlState() {
    this(System::nanoTime);
  }

  /** Creates an empty state with the given monotonic clock. */
  ControlState(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.appliedNanos = nanoTime.getAsLong();
  }

  /** Addresses of a control instance: RPC for gateways and sidecars, HTTP for operators. */
  record ReplicaAddresses(String replicaId, String rpcAddress, String httpAddress) {}

  /** Result of {@link Command.BeginEntry}. */
  record BeginResult(RequestLedger.State state, RequestLedger.StoredResponse answer) {}

  /**
   * Result of the commands that change the quarantine.
   *
   * @param quarantined fingerprints among those given that are quarantined; for a lifted part that
   *     part if it was suspected
   * @param newBans parts that are banned from now on
   * @param endedBans parts that are no longer banned
   */
  record CrashResult(
      List<String> quarantined, List<List<String>> newBans, List<List<String>> endedBans) {}

  /**
   * Result of {@link Command.RecordStreams}.
   *
   * @param found origins by number of the lookup
   * @param bases origins of the streams that are not recorded, by path prefix
   */
  record StreamsResult(
      Map<Integer, StreamOrigins.Origin> found, Map<String, StreamOrigins.Origin> bases) {}

  /**
   * What is known of parts of prompts that may crash endpoints.
   *
   * @param nowNanos the log time to which the times of the bans and crashes refer
   */
  record SuspectedParts(
      long version,
      long nowNanos,
      List<PartQuarantine.Ban> bans,
      List<String> watched,
      List<PartQuarantine.Evidence> evidence) {}

  /** Result of commands that return no data. */
  record Applied(boolean done) {}

  @Override
  public synchronized byte[] apply(long index, byte[] bytes) {
    Command command = Codec.decode(bytes);
    logMillis = Math.max(logMillis, command.logMillis());
    appliedNanos = nanoTime.getAsLong();
    Object result;
    if (command instanceof Command.ScaleCommand order) {
      result = scale.apply(order, logMillis);
    } else if (command instanceof Command.DutyCommand duty) {
      result = duties.apply(duty);
    } else {
      result = execute(command);
    }
    return Codec.encodeResult(result);
  }

  @Override
  public synchronized void writeSnapshot(OutputStream out) throws IOException {
    SnapshotFile.write(out, lines -> writeLines(lines));
  }

  @Override
  public synchronized void readSnapshot(InputStream in) throws IOException {
    settings = new SettingsStore();
    ledger = new RequestLedger(RequestLedger.Bounds.DEFAULT);
    crashes = new CrashCauses();
    streams = new StreamOrigins();
    endpoints = new HashMap<>();
    ceilings = new LinkedHashMap<>();
    replicas = new LinkedHashMap<>();
    publication = Optional.empty();
    duties = new DutyState();
    scale = new ScaleState();
    SnapshotFile.read(in, this::readLine);
    streamRoutes = StreamRoutes.none().next(settings);
    appliedNanos = nanoTime.getAsLong();
    revision = settings.revision();
    quarantineVersion++;
    notifyAll();
  }

  /** Runs {@code reader} on a consistent view of the settings. */
  synchronized <R> R readSettings(Function<SettingsStore, R> reader) {
    return reader.apply(settings);
  }

  /** Runs {@code reader} on a consistent view of the duties. */
  synchronized <R> R readDuties(Function<DutyState, R> reader) {
    return reader.apply(duties);
  }

  /** Runs {@code reader} on a consistent view of the orders of numbers of endpoints. */
  synchronized <R> R readScale(Function<ScaleState, R> reader) {
    return reader.apply(scale);
  }

  /** Returns the newest revision; never blocks, not even while a snapshot is written. */
  long revision() {
    return revision;
  }

  synchronized long quarantineVersion() {
    return quarantineVersion;
  }

  /**
   * Waits until the revision is above {@code revision} or the quarantine version differs from
   * {@code knownQuarantine}.
   *
   * @return false when {@code waitNanos} elapsed without a change
   */
  synchronized boolean awaitChange(long revision, long knownQuarantine, long waitNanos)
      throws InterruptedException {
    long deadline = nanoTime.getAsLong() + waitNanos;
    while (settings.revision() <= revision && quarantineVersion == knownQuarantine) {
      long remaining = deadline - nanoTime.getAsLong();
      if (remaining <= 0) {
        return false;
      }
      TimeUnit.NANOSECONDS.timedWait(this, Math.max(remaining, 1_000_000));
    }
    return true;
  }

  /**
   * Returns the log time: that of the newest command plus the time elapsed here since it was
   * applied.
   */
  synchronized long logMillis() {
    long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - appliedNanos);
    return logMillis + elapsedMillis;
  }

  /** Returns the quarantined fingerprints with their remaining milliseconds. */
  synchronized Map<String, Long> quarantined() {
    Map<String, Long> remaining = new LinkedHashMap<>();
    crashes
        .requests()
        .remaining(TimeUnit.MILLISECONDS.toNanos(logMillis()))
        .forEach((fingerprint, nanos) -> remaining.put(fingerprint, nanos / 1_000_000));
    return remaining;
  }

  /** Returns the parts of prompts that are suspected, with the bans of them. */
  synchronized SuspectedParts suspectedParts() {
    PartQuarantine parts = crashes.parts();
    return new SuspectedParts(
        parts.version(),
        TimeUnit.MILLISECONDS.toNanos(logMillis()),
        parts.bans(),
        List.copyOf(parts.watched()),
        List.copyOf(parts.evidence()));
  }

  /** Returns the newest publication with its publisher's request body. */
  synchronized Optional<SnapshotLine.Publication> publication() {
    return publication;
  }

  synchronized Optional<EndpointLeases.Grant> endpointGrant(String endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint));
  }

  synchronized int endpointCount() {
    return endpoints.size();
  }

  synchronized List<TokenBudget.Ceiling> ceilings() {
    return new ArrayList<>(ceilings.values());
  }

  synchronized Collection<RequestLedger.Owner> ledgerOwners() {
    return ledger.owners();
  }

  synchronized int ledgerSize() {
    return ledger.size();
  }

  synchronized Optional<ReplicaAddresses> replica(String replicaId) {
    return Optional.ofNullable(replicas.get(replicaId));
  }

  synchronized List<ReplicaAddresses> replicas() {
    return new ArrayList<>(replicas.values());
  }

  private Object execute(Command command) {
    long now = TimeUnit.MILLISECONDS.toNanos(logMillis);
    if (command instanceof Command.SettingsCommand change) {
      return changeSettings(store -> store.apply(change), now);
    } else if (command instanceof Command.Publish publish) {
      return publish(publish, now);
    } else if (command instanceof Command.Barrier) {
      return new Applied(true);
    } else if (command instanceof Command.CommitCeilings commit) {
      commit.ceilings().forEach(this::putCeiling);
      return new Applied(true);
    } else if (command instanceof Command.GrantEndpoint grant) {
      return grantEndpoint(grant);
    } else if (command instanceof Command.BeginEntry begin) {
      RequestLedger.BeginResult result =
          ledger.begin(
              begin.customer(),
              begin.idempotencyKey(),
              begin.fingerprint(),
              begin.owner(),
              begin.requestId(),
              now);
      return new BeginResult(result.state(), result.response().orElse(null));
    } else if (command instanceof Command.FinishEntry finish) {
      ledger.finish(
          finish.customer(),
          finish.idempotencyKey(),
          finish.requestId(),
          finish.outcome(),
          Optional.ofNullable(finish.answer()),
          now);
      return new Applied(true);
    } else if (command instanceof Command.OwnerGone gone) {
      return new Applied(ledger.ownerGone(gone.owner(), now) > 0);
    } else if (command instanceof Command.RecordCrash crash) {
      return recordCrash(crash, now);
    } else if (command instanceof Command.RecordBegan report) {
      return recordBegan(report, now);
    } else if (command instanceof Command.RecordStreams batch) {
      return recordStreams(batch, now);
    } else if (command instanceof Command.LiftPart lift) {
      return changeQuarantine(
          () -> crashes.parts().lift(lift.part(), now) ? List.of(lift.part()) : List.of());
    }
    Command.RegisterReplica replica = (Command.RegisterReplica) command;
    replicas.remove(replica.replicaId());
    replicas.put(
        replica.replicaId(),
        new ReplicaAddresses(replica.replicaId(), replica.rpcAddress(), replica.httpAddress()));
    trimOldest(replicas, MAX_REPLICAS);
    return new Applied(true);
  }

  private ChangeResult changeSettings(Function<SettingsStore, ChangeResult> change, long now) {
    long before = settings.revision();
    StreamRoutes routes = streamRoutes;
    ChangeResult result = change.apply(settings);
    if (settings.revision() != before) {
      revision = settings.revision();
      streamRoutes = routes.next(settings);
      if (!streamRoutes.equals(routes)) {
        streams.routesChanged(routes.resumable(), streamRoutes.resumable(), now);
      }
      notifyAll();
    }
    return result;
  }

  private ChangeResult publish(Command.Publish publish, long now) {
    if (publication.isPresent() && publish.version() <= publication.get().version()) {
      return ChangeResult.ok(settings.revision());
    }
    ChangeResult result = changeSettings(store -> store.applyPublication(publish), now);
    if (result.code() == ChangeResult.Code.OK) {
      publication = Optional.of(new SnapshotLine.Publication(publish.version(), publish.source()));
    }
    return result;
  }

  private void putCeiling(TokenBudget.Ceiling ceiling) {
    ceilings.remove(ceiling.customer());
    ceilings.put(ceiling.customer(), ceiling);
    // The bucket of the least recently active customer has long been full, so its ceiling can be
    // dropped.
    trimOldest(ceilings, MAX_CEILINGS);
  }

  private EndpointLeases.Grant grantEndpoint(Command.GrantEndpoint grant) {
    EndpointLeases.Grant present = endpoints.get(grant.endpoint());
    long fencing = present == null ? 0 : present.fencing();
    boolean hasRoom = present != null || endpoints.size() < MAX_ENDPOINTS;
    if (grant.fencing() != fencing + 1 || !hasRoom) {
      return present;
    }
    EndpointLeases.Grant granted =
        new EndpointLeases.Grant(
            grant.endpoint(),
            new EndpointLeases.Holder(grant.processId(), grant.startId()),
            grant.fencing());
    endpoints.put(grant.endpoint(), granted);
    return granted;
  }

  private CrashResult recordCrash(Command.RecordCrash crash, long now) {
    long at = now - TimeUnit.MILLISECONDS.toNanos(crash.crashedMillisAgo());
    String start = Objects.requireNonNullElse(crash.start(), "");
    Map<String, List<String>> parts = Objects.requireNonNullElse(crash.parts(), Map.of());
    List<SuspectRequest> suspects =
        crash.fingerprints().stream()
            .distinct()
            .map(one -> new SuspectRequest(one, parts.getOrDefault(one, List.of())))
            .toList();
    return changeQuarantine(
        () ->
            crashes.crashed(
                new Quarantine.Crash(crash.endpoint(), start, at),
                suspects,
                Objects.requireNonNullElse(crash.began(), Map.of()),
                now));
  }

  private CrashResult recordBegan(Command.RecordBegan report, long now) {
    return changeQuarantine(
        () -> {
          crashes.parts().beganEarlier(report.earlier(), now);
          crashes.parts().began(report.began(), now);
          return List.of();
        });
  }

  private StreamsResult recordStreams(Command.RecordStreams batch, long now) {
    batch.listed().forEach((prefix, origins) -> streams.inService(prefix, origins, now));
    for (Command.StreamRecord one : batch.records()) {
      streams.record(one.requestId(), one.route(), one.origin(), now);
    }
    Map<Integer, StreamOrigins.Origin> found = new LinkedHashMap<>();
    for (Command.StreamLookup lookup : batch.lookups()) {
      Optional<StreamOrigins.Origin> origin =
          lookup.requestId() == null
              ? streams.resolveUnnamed(lookup.route(), now)
              : streams.resolve(lookup.requestId(), lookup.route(), now);
      origin.ifPresent(known -> found.put(lookup.number(), known));
    }
    return new StreamsResult(found, streams.bases(batch.listed().keySet(), now));
  }

  private CrashResult changeQuarantine(Supplier<List<String>> change) {
    List<Quarantine.Banned> before = List.copyOf(crashes.requests().banned());
    Set<List<String>> bansBefore = bannedParts();
    long partsVersion = crashes.parts().version();
    List<String> banned = change.get();
    if (!before.equals(List.copyOf(crashes.requests().banned()))
        || partsVersion != crashes.parts().version()) {
      quarantineVersion++;
      notifyAll();
    }
    Set<List<String>> newBans = bannedParts();
    newBans.removeAll(bansBefore);
    bansBefore.removeAll(bannedParts());
    return new CrashResult(banned, List.copyOf(newBans), List.copyOf(bansBefore));
  }

  private Set<List<String>> bannedParts() {
    Set<List<String>> parts = new LinkedHashSet<>();
    crashes.parts().bans().forEach(ban -> parts.add(ban.parts()));
    return parts;
  }

  private void writeLines(SnapshotFile.LineWriter out) throws IOException {
    out.write(
        new SnapshotLine.Header(
            SnapshotLine.Header.FORMAT,
            settings.revision(),
            settings.history().floor(),
            logMillis));
    for (Map.Entry<String, SettingsTree.Entry> e : settings.tree().subtree("/").entrySet()) {
      SettingsTree.Entry entry = e.getValue();
      out.write(
          new SnapshotLine.Document(
              e.getKey(),
              entry.document(),
              entry.revision(),
              entry.changedBy(),
              entry.changedAtMillis()));
    }
    for (Map.Entry<String, String> e : settings.tree().deletedVersions().entrySet()) {
      out.write(new SnapshotLine.DeletedVersion(e.getKey(), e.getValue()));
    }
    out.writeAll(settings.history().all(), SnapshotLine.HistoryChange::new);
    out.writeAll(settings.operations().all(), SnapshotLine.Operation::new);
    out.writeAll(ledger.entries(), SnapshotLine.Ledger::new);
    out.writeAll(crashes.requests().suspects(), SnapshotLine.Suspect::new);
    out.writeAll(crashes.requests().banned(), SnapshotLine.Banned::new);
    PartQuarantine parts = crashes.parts();
    out.write(new SnapshotLine.SuspectParts(parts.version(), List.copyOf(parts.evidence())));
    out.writeAll(streams.entries(), SnapshotLine.Stream::new);
    out.writeAll(streams.routes(), SnapshotLine.StreamRoute::new);
    out.writeAll(streams.droppedNanos().stream().toList(), SnapshotLine.StreamsDropped::new);
    out.writeAll(endpoints.values(), SnapshotLine.Endpoint::new);
    out.writeAll(ceilings.values(), SnapshotLine.CreditCeiling::new);
    out.writeAll(replicas.values(), SnapshotLine.Replica::new);
    out.writeAll(publication.stream().toList(), line -> line);
    duties.write(out);
    scale.write(out);
  }

  /** Reads a line on streams, suspected parts, duties or orders; returns false for another line. */
  private boolean readRequestLine(SnapshotLine line) {
    if (line instanceof SnapshotLine.Stream stream) {
      streams.restore(stream.entry());
    } else if (line instanceof SnapshotLine.StreamRoute route) {
      streams.restore(route.route());
    } else if (line instanceof SnapshotLine.StreamsDropped dropped) {
      streams.restoreDropped(dropped.atNanos());
    } else if (line instanceof SnapshotLine.SuspectParts parts) {
      long now = TimeUnit.MILLISECONDS.toNanos(logMillis);
      crashes.parts().restore(parts.evidence(), parts.version(), now);
    } else {
      return duties.read(line) || scale.read(line);
    }
    return true;
  }

  private void readLine(SnapshotLine line) {
    if (readRequestLine(line)) {
      return;
    }
    if (line instanceof SnapshotLine.Header header) {
      settings.revision(header.revision());
      settings.history().floor(header.historyFloor());
      logMillis = header.logMillis();
    } else if (line instanceof SnapshotLine.Document d) {
      settings
          .tree()
          .put(
              d.path(),
              new SettingsTree.Entry(
                  d.document(), d.revision(), d.changedBy(), d.changedAtMillis()));
    } else if (line instanceof SnapshotLine.DeletedVersion deleted) {
      settings.tree().addDeletedVersion(deleted.path(), deleted.document());
    } else if (line instanceof SnapshotLine.HistoryChange change) {
      settings.history().add(change.change());
    } else if (line instanceof SnapshotLine.Operation operation) {
      settings.operations().add(operation.operation());
    } else if (line instanceof SnapshotLine.Ledger entry) {
      ledger.restore(entry.entry());
    } else if (line instanceof SnapshotLine.Suspect suspect) {
      crashes.requests().restore(suspect.suspect());
    } else if (line instanceof SnapshotLine.Banned banned) {
      crashes.requests().restore(banned.banned());
    } else if (line instanceof SnapshotLine.Endpoint endpoint) {
      endpoints.put(endpoint.grant().endpoint(), endpoint.grant());
    } else if (line instanceof SnapshotLine.CreditCeiling ceiling) {
      ceilings.put(ceiling.ceiling().customer(), ceiling.ceiling());
    } else if (line instanceof SnapshotLine.Replica replica) {
      replicas.put(replica.replica().replicaId(), replica.replica());
    } else if (line instanceof SnapshotLine.Publication published) {
      publication = Optional.of(published);
    }
  }

  private static void trimOldest(Map<String, ?> map, int maxSize) {
    if (map.size() > maxSize) {
      map.remove(map.keySet().iterator().next());
    }
  }
}
