package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides whether a process may admit new work under the settings it holds.
 *
 * <p>A heartbeat response contains the newest committed revision. The settings in force are
 * confirmed as of the time at which that heartbeat was sent, provided they are at that revision or
 * a later one. New work is refused once the last confirmation is older than the bound, so that a
 * withdrawn key, a zone taken out or a lowered limit takes effect within the bound even at a
 * process cut off from control.
 *
 * <pre>{@code
 * lease.heartbeatAcknowledged(sentAtNanos, committedRevision);
 * lease.revisionInForce(view.revision());
 * if (!lease.valid(nowNanos)) { refuse(); }
 * }</pre>
 *
 * <p>Invariant: the confirmation time is never later than the send time of a heartbeat whose
 * committed revision is in force. Thread safety: all methods are synchronized.
 *
 * @since 0.1
 */
public final class SettingsLease {

  /** Longest age of a confirmation under which new work is admitted. */
  public static final Duration DEFAULT_BOUND = Duration.ofSeconds(5);

  private final long boundNanos;
  private boolean confirmed;
  private long confirmedAtNanos;
  private long revisionInForce;
  private boolean pending;
  private long pendingSentAtNanos;
  private long pendingRevision;

  /** Creates a lease that is not yet confirmed. */
  public SettingsLease(Duration bound) {
    this.boundNanos = bound.toNanos();
  }

  /**
   * Records a heartbeat response.
   *
   * @param sentAtNanos monotonic time at which the heartbeat was sent
   * @param committedRevision newest revision committed at the leader
   */
  public synchronized void heartbeatAcknowledged(long sentAtNanos, long committedRevision) {
    if (committedRevision <= revisionInForce) {
      confirm(sentAtNanos);
      return;
    }
    // Keeps the oldest response whose revision is not in force yet: replacing it at each heartbeat
    // would never confirm a process that always lags by one revision, and the older send time is
    // safe.
    if (!pending) {
      pending = true;
      pendingSentAtNanos = sentAtNanos;
      pendingRevision = committedRevision;
    }
  }

  /** Records that {@code revision} is in force in this process. */
  public synchronized void revisionInForce(long revision) {
    revisionInForce = Math.max(revisionInForce, revision);
    if (pending && pendingRevision <= revisionInForce) {
      pending = false;
      confirm(pendingSentAtNanos);
    }
  }

  /** Returns true when new work may be admitted at {@code nowNanos} (monotonic). */
  public synchronized boolean valid(long nowNanos) {
    return confirmed && nowNanos - confirmedAtNanos <= boundNanos;
  }

  /** Returns the monotonic time as of which the settings in force were last confirmed. */
  public synchronized long confirmedAtNanos() {
    return confirmedAtNanos;
  }

  /** Returns the revision in force. */
  public synchronized long revision() {
    return revisionInForce;
  }

  private void confirm(long sentAtNanos) {
    if (!confirmed || sentAtNanos - confirmedAtNanos > 0) {
      confirmed = true;
      confirmedAtNanos = sentAtNanos;
    }
  }
}
