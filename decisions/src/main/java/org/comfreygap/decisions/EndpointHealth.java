package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides whether a gateway may send work to one endpoint, from the results of its own attempts.
 *
 * <p>A failure takes the endpoint out of use for a time that doubles with each further failure.
 * After that time a single attempt is allowed; its result decides whether the endpoint is used
 * again.
 *
 * <pre>{@code
 * if (health.usable(now)) { health.dispatched(now); }
 * }</pre>
 *
 * <p>Invariant: between a failure and the next success at most one attempt is in progress at a
 * time, unless its result is overdue. Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class EndpointHealth {

  /** Time out of use after the first failure. */
  public static final Duration FIRST_PAUSE = Duration.ofMillis(250);

  /** Longest time out of use; a recovered endpoint is detected within this time. */
  public static final Duration MAX_PAUSE = Duration.ofSeconds(8);

  /** Age at which a trial attempt without a result no longer blocks the next one. */
  public static final Duration TRIAL_TIMEOUT = Duration.ofSeconds(5);

  private static final int MAX_DOUBLINGS = 5;

  private int failures;
  private long pausedUntilNanos;
  private boolean paused;
  private boolean trial;
  private long trialAtNanos;

  /** Returns true when an attempt may be sent at {@code nowNanos}. */
  public boolean usable(long nowNanos) {
    if (paused && nowNanos - pausedUntilNanos < 0) {
      return false;
    }
    return failures == 0 || !trial || nowNanos - trialAtNanos >= TRIAL_TIMEOUT.toNanos();
  }

  /** Records that an attempt was sent. */
  public void dispatched(long nowNanos) {
    if (failures > 0) {
      trial = true;
      trialAtNanos = nowNanos;
    }
  }

  /** Records that the endpoint responded, with a result or a refusal. */
  public void succeeded() {
    failures = 0;
    trial = false;
    paused = false;
  }

  /** Records that the endpoint could not be reached or interrupted an attempt. */
  public void failed(long nowNanos) {
    long pause = FIRST_PAUSE.toNanos() << Math.min(failures, MAX_DOUBLINGS);
    failures = Math.min(failures + 1, MAX_DOUBLINGS + 1);
    trial = false;
    pause(nowNanos, Math.min(pause, MAX_PAUSE.toNanos()));
  }

  /** Records that the endpoint requested a pause of {@code millis}. */
  public void backOff(long nowNanos, long millis) {
    pause(nowNanos, Math.min(Duration.ofMillis(millis).toNanos(), MAX_PAUSE.toNanos()));
  }

  private void pause(long nowNanos, long pauseNanos) {
    long until = nowNanos + pauseNanos;
    if (!paused || until - pausedUntilNanos > 0) {
      pausedUntilNanos = until;
      paused = true;
    }
  }
}
