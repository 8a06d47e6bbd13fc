package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides whether an endpoint, whose state is reported regularly, is suspended: neither a report
 * nor a part of a response has come from it for too long.
 *
 * <p>The sockets of a suspended machine go on taking what is sent, and nobody reads it before the
 * machine goes on. A lack of reports therefore must not look like a lack of load.
 *
 * <pre>{@code
 * if (silence.check(now) == EndpointSilence.Change.BEGAN) { log(endpoint); }
 * if (!silence.holdsBack(now)) { send(request); }
 * }</pre>
 *
 * <p>Invariants: an endpoint without a reporter, or whose reporter is known to have ended, is not
 * silent; a silent endpoint gets at most one request in each {@link #TRIAL_PERIOD}. Thread safety:
 * not thread-safe.
 *
 * @since 0.9
 */
public final class EndpointSilence {

  /** Time without a sign after which reports are overdue: one more poll and a way across a zone. */
  public static final Duration OVERDUE = StatusPacing.MAX_SILENCE.plusMillis(200);

  /** Time between trials of an endpoint that may serve although nothing is heard of it. */
  public static final Duration TRIAL_PERIOD = EndpointHealth.MAX_PAUSE;

  /**
   * Consecutive checks that find the reports overdue. Between two of them a process that stood
   * still itself has read what had arrived.
   */
  public static final int CHECKS = 2;

  private boolean reported;
  private long heardNanos;
  private int overdueChecks;
  private boolean silent;
  private long trialNanos;

  /** What a check changed. */
  public enum Change {
    NONE,
    /** The endpoint is silent from now on. */
    BEGAN,
    /** The endpoint is not silent any more. */
    ENDED
  }

  /**
   * Records that the endpoint's reporter accepted a connection, so that a report is due. Its kernel
   * does so also while it is suspended.
   */
  public void reporterAccepted(long nowNanos) {
    if (!reported) {
      reported = true;
      heardNanos = nowNanos;
    }
  }

  /** Records a report on the endpoint's state. */
  public void reportReceived(long nowNanos) {
    reported = true;
    heardNanos = nowNanos;
  }

  /** Records a part of a response. */
  public void responseReceived(long nowNanos) {
    heardNanos = nowNanos;
  }

  /** Records that the endpoint's reporter has ended, so that no report is due. */
  public void reporterEnded() {
    reported = false;
  }

  /**
   * Records that the connection to the reporter ended. While the endpoint is silent, this shows
   * nothing about the reporter.
   */
  public void connectionEnded() {
    reported &= silent;
  }

  /** Records that a request was sent. */
  public void dispatched(long nowNanos) {
    if (silent) {
      trialNanos = nowNanos;
    }
  }

  /** Looks whether reports are overdue; to be called periodically. */
  public Change check(long nowNanos) {
    boolean overdue = reported && nowNanos - heardNanos > OVERDUE.toNanos();
    overdueChecks = overdue ? Math.min(CHECKS, overdueChecks + 1) : 0;
    boolean before = silent;
    silent = overdueChecks >= CHECKS;
    if (silent && !before) {
      trialNanos = nowNanos;
      return Change.BEGAN;
    }
    return before && !silent ? Change.ENDED : Change.NONE;
  }

  /** Returns true while no request should be sent. */
  public boolean holdsBack(long nowNanos) {
    return silent && nowNanos - trialNanos < TRIAL_PERIOD.toNanos();
  }

  /** Returns true since the check that found the endpoint silent. */
  public boolean isSilent() {
    return silent;
  }
}
