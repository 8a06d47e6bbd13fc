package org.comfreygap.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.decisions.PartBans;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.decisions.SettingsLease;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.WatchReply;
import org.comfreygap.protocol.generated.WatchRequest;
import org.comfreygap.settings.SettingsView;

/**
 * Maintains the membership of a process in control: sends heartbeats, watches the settings tree and
 * the quarantine list, and maintains the settings lease.
 *
 * <pre>{@code
 * MembershipAgent agent = MembershipAgent.start(identity, control, events, Optional::empty);
 * if (agent.admits()) { serve(agent.settings()); }
 * }</pre>
 *
 * <p>Invariant: the revision in force never decreases, even when a lagging replica responds. Thread
 * safety: accessors may be called from any thread.
 *
 * @since 0.1
 */
public final class MembershipAgent implements AutoCloseable {

  /**
   * Periods and timeouts of the communication with control.
   *
   * @param heartbeatPeriod time between heartbeats
   * @param heartbeatTimeout longest time for one heartbeat over all attempts
   * @param maxAttemptTime longest time for one attempt of a heartbeat
   * @param watchWait longest time for which a replica holds a watch when nothing changes
   * @param watchSlack time in excess of {@code watchWait} after which a replica counts as stuck
   * @param leaseBound longest age of a confirmation under which new work is admitted
   */
  public record Timing(
      Duration heartbeatPeriod,
      Duration heartbeatTimeout,
      Duration maxAttemptTime,
      Duration watchWait,
      Duration watchSlack,
      Duration leaseBound) {

    /** The default timing. */
    public static final Timing STANDARD =
        new Timing(
            HEARTBEAT_PERIOD,
            HEARTBEAT_TIMEOUT,
            MAX_ATTEMPT_TIME,
            WATCH_WAIT,
            WATCH_SLACK,
            SettingsLease.DEFAULT_BOUND);
  }

  /** Time between heartbeats. */
  public static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_500);
  private static final Duration MAX_ATTEMPT_TIME = Duration.ofMillis(1_000);
  private static final Duration WATCH_WAIT = Duration.ofSeconds(2);
  private static final Duration WATCH_SLACK = Duration.ofSeconds(1);
  // Delay between attempts while no replica responds, so that control is not flooded.
  private static final Duration WATCH_RETRY_PAUSE = Duration.ofMillis(100);
  // Twice the bound in control, so that entries that control evicts for newer ones are kept longer.
  private static final int MAX_QUARANTINED = 1_000;
  private static final Duration LEASE_CHECK_PERIOD = Duration.ofMillis(250);

  private final ProcessIdentity identity;
  private final ControlClient control;
  private final EventLog events;
  private final Supplier<Optional<EndpointReport>> report;
  private final HeartbeatContent content;
  private final Timing timing;
  private final SettingsLease lease;
  private final SuspensionDetector suspensionDetector = new SuspensionDetector();
  private final Map<String, Member> members = new ConcurrentHashMap<>();
  // Held while listeners are called, so that none gets an older revision after a newer one.
  private final Object delivery = new Object();
  private final List<Consumer<SettingsView>> listeners = new CopyOnWriteArrayList<>();
  private final Closer closer = new Closer();
  private final LeaderChangeRecorder leaderChanges;
  private volatile SettingsView settings = SettingsView.empty();
  private volatile Map<String, Long> quarantineEnds = Map.of();
  private volatile PartBans partBans = PartBans.NONE;
  private volatile Set<String> watchedParts = Set.of();
  private long partsVersion = -1;
  private volatile long membershipVersion;
  private volatile Optional<ClockReading> membersConfirmedAt = Optional.empty();
  private long membersTerm = -1;
  private volatile boolean leaving;
  private Optional<InetSocketAddress> watchedReplica = Optional.empty();
  private boolean leaseWasValid;

  private MembershipAgent(
      ProcessIdentity identity,
      ControlClient control,
      EventLog events,
      Supplier<Optional<EndpointReport>> report,
      Timing timing,
      HeartbeatContent content) {
    this.timing = timing;
    this.content = content;
    this.lease = new SettingsLease(timing.leaseBound());
    this.identity = identity;
    this.control = control;
    this.events = events;
    this.leaderChanges = new LeaderChangeRecorder(events);
    this.report = report;
  }

  /** Starts the background tasks with the standard timing. */
  public static MembershipAgent start(
      ProcessIdentity identity,
      ControlClient control,
      EventLog events,
      Supplier<Optional<EndpointReport>> report) {
    return start(identity, control, events, report, Timing.STANDARD);
  }

  /** Starts the background tasks with the given timing. */
  public static MembershipAgent start(
      ProcessIdentity identity,
      ControlClient control,
      EventLog events,
      Supplier<Optional<EndpointReport>> report,
      Timing timing) {
    return start(identity, control, events, report, timing, HeartbeatContent.NONE);
  }

  /** Starts the background tasks with the given timing and further content of heartbeats. */
  public static MembershipAgent start(
      ProcessIdentity identity,
      ControlClient control,
      EventLog events,
      Supplier<Optional<EndpointReport>> report,
      Timing timing,
      HeartbeatContent content) {
    MembershipAgent agent = new MembershipAgent(identity, control, events, report, timing, content);
    agent.closer.register(
        RepeatingTask.every("heartbeat", timing.heartbeatPeriod(), agent::sendHeartbeat));
    agent.closer.register(RepeatingTask.continuous("settings-watch", agent::watchOnce));
    agent.closer.register(
        RepeatingTask.every("settings-lease", LEASE_CHECK_PERIOD, agent::checkLease));
    return agent;
  }

  /** Returns the settings in force. */
  public SettingsView settings() {
    return settings;
  }

  /** Returns true when new work may be admitted, that is, when the settings lease is valid. */
  public boolean admits() {
    ClockReading now = ClockReading.now();
    boolean isTrusted = suspensionDetector.isTrusted(lease.confirmedAtNanos(), now);
    return isTrusted && lease.valid(now.nanos());
  }

  /**
   * Returns the monotonic time as of which the settings in force were last confirmed. While a
   * listener of settings runs, it is that of the settings before: the change was committed later.
   */
  public long confirmedAtNanos() {
    return lease.confirmedAtNanos();
  }

  /** Returns true when {@code fingerprint} is quarantined at {@code nowNanos} (monotonic). */
  public boolean quarantined(String fingerprint, long nowNanos) {
    return quarantineLeft(fingerprint, nowNanos).isPresent();
  }

  /** Returns how long {@code fingerprint} stays quarantined; empty when it is not. */
  public Optional<Duration> quarantineLeft(String fingerprint, long nowNanos) {
    return Optional.ofNullable(quarantineEnds.get(fingerprint))
        .map(end -> Duration.ofNanos(end - nowNanos))
        .filter(left -> !left.isNegative() && !left.isZero());
  }

  /** Returns true when any request is, or recently was, quarantined. */
  public boolean anyQuarantined() {
    return !quarantineEnds.isEmpty();
  }

  /** Returns the bans of parts of prompts, those included that take effect later. */
  public PartBans partBans() {
    return partBans;
  }

  /** Returns the parts of prompts of which beginnings of responses are to be reported. */
  public Set<String> watchedParts() {
    return watchedParts;
  }

  /** Returns the members reported by control, without those that are gone. */
  public Collection<Member> members() {
    return members.values();
  }

  /**
   * Returns when the heartbeat was sent whose reply last confirmed {@link #members}; empty before
   * the first full view. Members that are read later are at least as recent.
   *
   * @since 0.7
   */
  public Optional<ClockReading> membersConfirmedAt() {
    return membersConfirmedAt;
  }

  /** Calls {@code listener} immediately with the current settings, and after each change. */
  public void onSettings(Consumer<SettingsView> listener) {
    synchronized (delivery) {
      listeners.add(listener);
      listener.accept(settings);
    }
  }

  /** Reports to control, from the next heartbeat on, that this process is leaving. */
  public void leave() {
    leaving = true;
  }

  /** Sends one heartbeat now, for example directly after {@link #leave}. */
  public synchronized void sendHeartbeat() throws ControlUnavailableException {
    HeartbeatRequest request =
        new HeartbeatRequest(identity, settings.revision(), leaving, membershipVersion);
    report.get().ifPresent(request::setReport);
    ClockReading[] sentAt = new ClockReading[1];
    HeartbeatReply reply;
    try {
      reply =
          control.callLeader(
              timing.heartbeatTimeout(),
              timing.maxAttemptTime(),
              client -> {
                sentAt[0] = ClockReading.now();
                content.fill(request);
                return client.heartbeat(request);
              });
    } catch (ControlUnavailableException e) {
      // The end of this process says nothing of control.
      if (!control.isClosed()) {
        events.record(RuntimeEvent.CONTROL_UNREACHABLE, Field.of("cause", e.getMessage()));
      }
      return;
    }
    lease.heartbeatAcknowledged(sentAt[0].nanos(), reply.getCommittedRevision());
    content.replied(request, reply, sentAt[0], System.nanoTime());
    leaderChanges.observe(control.leader());
    updateMembers(reply, sentAt[0]);
    control.addresses(reply.getControlAddresses().stream().map(Addresses::parse).toList());
  }

  @Override
  public void close() {
    closer.close();
  }

  private void watchOnce() throws InterruptedException {
    InetSocketAddress replica = watchedReplica.orElseGet(control::nextAddress);
    long before = settings.revision();
    WatchRequest request =
        new WatchRequest(identity.getProcessId(), before, (int) timing.watchWait().toMillis());
    WatchReply reply;
    try {
      reply =
          control.callAt(
              replica,
              timing.watchWait().plus(timing.watchSlack()),
              client -> client.watch(request));
      watchedReplica = Optional.of(replica);
    } catch (ControlUnavailableException e) {
      if (control.isClosed()) {
        // Only a close of the agent ends this pause early; nothing is left to watch.
        Thread.sleep(WATCH_RETRY_PAUSE.toMillis());
        return;
      }
      // The leader responds to heartbeats, so it is not stuck.
      watchedReplica = control.leader().filter(leader -> !leader.equals(replica));
      events.record(
          RuntimeEvent.CONTROL_UNREACHABLE,
          Field.of("call", "watch"),
          Field.of("control", Addresses.text(replica)),
          Field.of("cause", e.getMessage()));
      Thread.sleep(WATCH_RETRY_PAUSE.toMillis());
      return;
    }
    if (reply.getRevision() < before) {
      watchedReplica = Optional.empty();
      events.record(
          RuntimeEvent.SETTINGS_REVISION_REJECTED,
          Field.of("given", reply.getRevision()),
          Field.of("inForce", before));
      return;
    }
    applyQuarantine(reply);
    if (reply.getRevision() > before) {
      apply(reply);
    }
  }

  private void apply(WatchReply reply) {
    SettingsView base = reply.isSnapshot() ? SettingsView.empty() : settings;
    SettingsView next = base.with(reply.getChanges(), reply.getRevision());
    synchronized (delivery) {
      settings = next;
      listeners.forEach(listener -> listener.accept(next));
    }
    // The lease counts the revision only once every listener has applied it.
    lease.revisionInForce(next.revision());
    events.record(RuntimeEvent.SETTINGS_IN_FORCE, Field.of("revision", next.revision()));
  }

  private void applyQuarantine(WatchReply reply) {
    if (!reply.isSetQuarantined()) {
      return;
    }
    long now = System.nanoTime();
    Map<String, Long> ends = new ConcurrentHashMap<>();
    reply
        .getQuarantined()
        .forEach(
            (fingerprint, millis) ->
                ends.put(fingerprint, now + Duration.ofMillis(millis).toNanos()));
    if (!applyParts(reply, now)) {
      // Entries are removed only when they expire, since a lagging replica may not list them yet.
      quarantineEnds.forEach(
          (fingerprint, end) -> {
            if (end - now > 0 && ends.size() < MAX_QUARANTINED) {
              ends.putIfAbsent(fingerprint, end);
            }
          });
    }
    quarantineEnds = ends;
  }

  /** Returns true when the reply is newer, so that what it no longer lists was withdrawn. */
  private boolean applyParts(WatchReply reply, long now) {
    if (!reply.isSetParts() || reply.getParts().getVersion() <= partsVersion) {
      return false;
    }
    partsVersion = reply.getParts().getVersion();
    partBans =
        new PartBans(
            reply.getParts().getBans().stream()
                .map(
                    ban ->
                        new PartQuarantine.Ban(
                            ban.getParts(),
                            now + Duration.ofMillis(ban.getStartsInMillis()).toNanos(),
                            now + Duration.ofMillis(ban.getRemainingMillis()).toNanos()))
                .toList());
    watchedParts = Set.copyOf(reply.getParts().getWatched());
    return true;
  }

  private void updateMembers(HeartbeatReply reply, ClockReading sentAt) {
    if (reply.isFull()) {
      members.clear();
      membersTerm = reply.getTerm();
    }
    for (Member member : reply.getMembers()) {
      String id = member.getIdentity().getProcessId();
      switch (member.getState()) {
        case GONE -> members.remove(id);
        default -> members.put(id, member);
      }
    }
    membershipVersion = reply.getMembershipVersion();
    // A new leader says nothing of the members until its view is settled.
    if (reply.getTerm() == membersTerm) {
      membersConfirmedAt = Optional.of(sentAt);
    }
  }

  private void checkLease() throws ControlUnavailableException {
    boolean valid = admits();
    if (!valid && leaseWasValid) {
      // After a suspension, work resumes on an immediate heartbeat, not at the next period.
      sendHeartbeat();
      valid = admits();
    }
    if (valid != leaseWasValid) {
      leaseWasValid = valid;
      events.record(
          valid ? RuntimeEvent.SETTINGS_LEASE_REGAINED : RuntimeEvent.SETTINGS_LEASE_LOST,
          Field.of("revision", settings.revision()));
    }
  }
}
