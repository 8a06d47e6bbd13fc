package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Optional;

/**
 * Tells whether input may wait unread because the thread that reads it did not run: its process was
 * stopped, had no processor time, or was held up by one task.
 *
 * <p>After a pause, a request and the end of its caller's connection may both have arrived, and the
 * request is read first. Before something is begun on old input, newer input has to be read.
 *
 * <pre>{@code
 * pauses.ticked(now);
 * if (pauses.mayHoldUnread(now)) { readArrived(caller); }
 * }</pre>
 *
 * <p>Invariant: a pause that is longer than {@link #TICK} and {@link #MAX_LATENESS} together is
 * noticed before the first decision after it. Thread safety: not thread-safe.
 *
 * @since 0.9
 */
public final class LoopPauses {

  /** Time between two ticks. */
  public static final Duration TICK = Duration.ofMillis(100);

  /** Lateness of a tick up to which nothing waits for long. */
  public static final Duration MAX_LATENESS = Duration.ofMillis(50);

  /** Time after a pause in which connections that came meanwhile are accepted and read. */
  public static final Duration CATCH_UP = Duration.ofSeconds(1);

  private boolean begun;
  private long tickNanos;
  private boolean paused;
  private long resumedNanos;

  /**
   * Records a tick.
   *
   * @return the lateness of the tick when the thread did not run for too long
   */
  public Optional<Duration> ticked(long nowNanos) {
    boolean late = isLate(nowNanos);
    Optional<Duration> lateness =
        late ? Optional.of(Duration.ofNanos(nowNanos - tickNanos).minus(TICK)) : Optional.empty();
    notePause(late, nowNanos);
    begun = true;
    tickNanos = nowNanos;
    return lateness;
  }

  /** Returns true when input that arrived during a pause may be unread. */
  public boolean mayHoldUnread(long nowNanos) {
    notePause(isLate(nowNanos), nowNanos);
    return paused && nowNanos - resumedNanos < CATCH_UP.toNanos();
  }

  private boolean isLate(long nowNanos) {
    return begun && nowNanos - tickNanos > TICK.plus(MAX_LATENESS).toNanos();
  }

  private void notePause(boolean late, long nowNanos) {
    if (late) {
      paused = true;
      resumedNanos = nowNanos;
    }
  }
}
