package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Lets at most one sidecar command an endpoint at a time. The leader keeps the leases in memory;
 * the holder and the fencing number of each endpoint are committed before a lease is granted.
 *
 * <pre>{@code
 * Decision decision = leases.acquire("e1", holder, fencing, committedGrant, now);
 * if (decision.kind() == Kind.COMMIT_FIRST) { commit(decision.fencing()); }
 * }</pre>
 *
 * <p>Invariants: a lease goes to a new holder only after the control-side lifetime has passed since
 * the last grant to the old one, or since this leader started; fencing numbers rise with each new
 * holder. Not thread-safe.
 *
 * @since 0.1
 */
public final class EndpointLeases {

  /** Lifetime at the holder, measured from the moment it sent its request. */
  public static final Duration HOLDER_LIFETIME = Duration.ofSeconds(6);

  /** Lifetime at control; longer, so that the holder has stopped when control grants again. */
  public static final Duration CONTROL_LIFETIME = Duration.ofSeconds(8);

  private final long startNanos;
  private final Map<String, Long> renewedNanos = new HashMap<>();
  private final Map<String, Pending> pending = new HashMap<>();

  /**
   * Starts without knowledge of the previous leader's leases.
   *
   * @param startNanos monotonic time at which this leadership began
   */
  public EndpointLeases(long startNanos) {
    this.startNanos = startNanos;
  }

  /** The start of a sidecar process. */
  public record Holder(String processId, String startId) {}

  /** A committed grant. */
  public record Grant(String endpoint, Holder holder, long fencing) {}

  /** Kind of a decision on a request. */
  public enum Kind {
    GRANTED,
    COMMIT_FIRST,
    REFUSED
  }

  /**
   * Decision on a request.
   *
   * @param fencing the granted number, or the one to commit before the next request
   * @param waitNanos when refused: how long the present lease can still run
   */
  public record Decision(Kind kind, long fencing, long waitNanos) {}

  /**
   * Decides on a request for the lease of {@code endpoint}.
   *
   * @param committed the newest committed grant of the endpoint
   */
  public Decision acquire(String endpoint, Holder holder, Optional<Grant> committed, long now) {
    long committedFencing = committed.map(Grant::fencing).orElse(0L);
    Pending commit = pending.get(endpoint);
    if (commit != null && commit.fencing <= committedFencing) {
      pending.remove(endpoint);
      commit = null;
    }
    if (commit != null) {
      // The present holder must not renew either: the next one may be granted at any moment.
      return commit.holder.equals(holder)
          ? new Decision(Kind.COMMIT_FIRST, commit.fencing, 0)
          : new Decision(Kind.REFUSED, committedFencing, CONTROL_LIFETIME.toNanos());
    }
    if (committed.isPresent() && committed.get().holder.equals(holder)) {
      renewedNanos.put(endpoint, now);
      return new Decision(Kind.GRANTED, committedFencing, 0);
    }
    long wait =
        CONTROL_LIFETIME.toNanos() - (now - renewedNanos.getOrDefault(endpoint, startNanos));
    if (committed.isPresent() && wait > 0) {
      return new Decision(Kind.REFUSED, committedFencing, wait);
    }
    pending.put(endpoint, new Pending(holder, committedFencing + 1));
    return new Decision(Kind.COMMIT_FIRST, committedFencing + 1, 0);
  }

  private record Pending(Holder holder, long fencing) {}
}
