package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Combines heartbeats and the platform's lagging list into one state for each process.
 *
 * <p>Heartbeats determine that a process is alive; the list only marks a process as leaving, and
 * makes a silent process that it no longer names count as gone earlier. Gateways receive the
 * changes of state since the version they hold; heartbeats that change no state create no new
 * version.
 *
 * <pre>{@code
 * view.heartbeat(process, revision, leaving, now);
 * view.advance(now);
 * Delta delta = view.since(callerVersion, now);
 * }</pre>
 *
 * <p>Invariants: versions rise within a term and every version of a later term is higher; in the
 * settling time after a leader's start no delta is full, so that a new leader without contact to
 * the processes yet removes none of them. Not thread-safe.
 *
 * @param <P> description of a process besides its id
 * @since 0.1
 */
public final class MembershipView<P> {

  /** Silence after which a process is suspect: three heartbeats. */
  public static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);

  /** Silence after which a process is gone; its own leases have expired by then. */
  public static final Duration GONE_AFTER = Duration.ofSeconds(10);

  /** Silence after which a process that the platform's list no longer names is gone. */
  public static final Duration GONE_UNLISTED_AFTER = Duration.ofSeconds(6);

  /** Time after a leader's start until every live process has sent a heartbeat. */
  public static final Duration SETTLING = Duration.ofMillis(2_500);

  /** Age at which the platform's list is ignored. */
  public static final Duration LIST_LIFETIME = Duration.ofSeconds(30);

  private static final Duration GONE_RETENTION = Duration.ofMinutes(5);
  private static final int TERM_SHIFT = 32;

  private final long term;
  private final long startNanos;
  private final int capacity;
  private final Map<String, Process<P>> processes = new HashMap<>();
  private Map<String, Boolean> leavingByAddress = Map.of();
  private long listNanos;
  private boolean listed;
  private long version;
  private long oldestDelta;

  /**
   * Creates an empty view.
   *
   * @param term the leader's term
   * @param startNanos monotonic time at which the leadership began
   * @param capacity most processes
   */
  public MembershipView(long term, long startNanos, int capacity) {
    this.term = term;
    this.startNanos = startNanos;
    this.capacity = capacity;
    this.version = (term << TERM_SHIFT) + 1;
    this.oldestDelta = version;
  }

  /** State of a process. */
  public enum State {
    LIVE,
    SUSPECT,
    LEAVING,
    GONE
  }

  /**
   * A process and its state.
   *
   * @param startId new for each start of the process
   * @param address address under which the platform lists it
   */
  public record Identity<P>(String processId, String startId, String address, P description) {}

  /** A process with its state and the settings revision it has in force. */
  public record Status<P>(
      Identity<P> identity, State state, long revisionInForce, long lastContactNanos) {}

  /** Changes since a version. */
  public record Delta<P>(long version, boolean full, List<Status<P>> changed) {}

  /**
   * Records a heartbeat.
   *
   * @return false when the view is full and the process unknown
   */
  public boolean heartbeat(Identity<P> identity, long revisionInForce, boolean leaving, long now) {
    Process<P> process = processes.get(identity.processId);
    if (process == null) {
      if (processes.size() >= capacity) {
        return false;
      }
      process = new Process<>();
      processes.put(identity.processId, process);
    }
    boolean changed = !identity.equals(process.identity);
    if (changed && process.identity != null && !process.identity.startId.equals(identity.startId)) {
      process.revision = 0;
    }
    process.identity = identity;
    process.lastContactNanos = now;
    process.leaving = leaving;
    process.revision = Math.max(process.revision, revisionInForce);
    State state = stateOf(process, now);
    if (changed || state != process.state) {
      process.state = state;
      process.version = ++version;
    }
    return true;
  }

  /** Records that a process has a settings revision in force, as reported by its watch. */
  public void revisionInForce(String processId, long revision) {
    Process<P> process = processes.get(processId);
    if (process != null) {
      process.revision = Math.max(process.revision, revision);
    }
  }

  /**
   * Records the platform's list.
   *
   * @param leaving for each listed address, whether it is leaving
   */
  public void platformList(Map<String, Boolean> leaving, long now) {
    leavingByAddress = Map.copyOf(leaving);
    listNanos = now;
    listed = true;
    advance(now);
  }

  /** Updates the states of all processes to the given time. */
  public void advance(long now) {
    processes
        .values()
        .removeIf(
            process -> {
              State state = stateOf(process, now);
              if (state != process.state) {
                process.state = state;
                process.version = ++version;
              }
              boolean forget =
                  state == State.GONE
                      && now - process.lastContactNanos
                          > GONE_AFTER.toNanos() + GONE_RETENTION.toNanos();
              if (forget) {
                oldestDelta = Math.max(oldestDelta, process.version);
              }
              return forget;
            });
  }

  /** Returns the changes since {@code callerVersion}. */
  public Delta<P> since(long callerVersion, long now) {
    boolean sameTerm = callerVersion >>> TERM_SHIFT == term;
    if (!sameTerm && !settled(now)) {
      return new Delta<>(callerVersion, false, List.of());
    }
    boolean full = !sameTerm || callerVersion < oldestDelta || callerVersion > version;
    List<Status<P>> changed = new ArrayList<>();
    for (Process<P> process : processes.values()) {
      boolean include = full ? process.state != State.GONE : process.version > callerVersion;
      if (include) {
        changed.add(process.status());
      }
    }
    return new Delta<>(version, full, changed);
  }

  /** Returns true once every live process has had time to send a heartbeat to this leader. */
  public boolean settled(long now) {
    return now - startNanos >= SETTLING.toNanos();
  }

  /** Returns all processes with their states. */
  public Collection<Status<P>> all() {
    return processes.values().stream().map(Process::status).toList();
  }

  /** Returns the process with the given id. */
  public Optional<Status<P>> find(String processId) {
    return Optional.ofNullable(processes.get(processId)).map(Process::status);
  }

  /**
   * Returns true when the given start of a process can no longer act: it is gone, or another start
   * has taken its place. An unknown start counts as gone once this leader has been in place for
   * {@link #GONE_AFTER}.
   */
  public boolean ended(String processId, String startId, long now) {
    Process<P> process = processes.get(processId);
    if (process == null) {
      return now - startNanos >= GONE_AFTER.toNanos();
    }
    return process.state == State.GONE || !process.identity.startId.equals(startId);
  }

  private State stateOf(Process<P> process, long now) {
    long silence = now - process.lastContactNanos;
    boolean listValid = listed && now - listNanos < LIST_LIFETIME.toNanos();
    Boolean listedLeaving = listValid ? leavingByAddress.get(process.identity.address) : null;
    boolean unlisted = listValid && listedLeaving == null;
    if (silence >= GONE_AFTER.toNanos() || (unlisted && silence >= GONE_UNLISTED_AFTER.toNanos())) {
      return State.GONE;
    }
    if (process.leaving || Boolean.TRUE.equals(listedLeaving)) {
      return State.LEAVING;
    }
    return silence >= SUSPECT_AFTER.toNanos() ? State.SUSPECT : State.LIVE;
  }

  private static final class Process<P> {

    private Identity<P> identity;
    private State state;
    private long lastContactNanos;
    private long revision;
    private long version;
    private boolean leaving;

    Status<P> status() {
      return new Status<>(identity, state, revision, lastContactNanos);
    }
  }
}
