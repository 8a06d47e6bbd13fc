package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Runs a callback when no data of an attempt was received for some time.
 *
 * <p>Invariant: after {@link #stop} the callback is not run. One task is scheduled for each
 * timeout, not for each part that is received. Thread safety: used on the event loop only.
 */
final class InactivityTimer {

  private final EventLoop loop;
  private final long timeoutNanos;
  private final Runnable onTimeout;
  private long lastActivityNanos;
  private boolean stopped;

  /**
   * Creates a timer that is not started.
   *
   * @param onTimeout run after each {@code timeout} without activity
   */
  InactivityTimer(EventLoop loop, Duration timeout, Runnable onTimeout) {
    this.loop = loop;
    this.timeoutNanos = timeout.toNanos();
    this.onTimeout = onTimeout;
  }

  void start(long nowNanos) {
    lastActivityNanos = nowNanos;
    arm(timeoutNanos);
  }

  /** Records that data was received. */
  void recordActivity(long nowNanos) {
    lastActivityNanos = nowNanos;
  }

  void stop() {
    stopped = true;
  }

  private void arm(long nanos) {
    loop.schedule(this::check, nanos, TimeUnit.NANOSECONDS);
  }

  private void check() {
    if (stopped) {
      return;
    }
    long now = System.nanoTime();
    long left = timeoutNanos - (now - lastActivityNanos);
    if (left > 0) {
      arm(left);
      return;
    }
    lastActivityNanos = now;
    arm(timeoutNanos);
    onTimeout.run();
  }
}
