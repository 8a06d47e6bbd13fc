package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/**
 * Tells when nothing has come of an attempt for some time.
 *
 * <p>Invariant: after {@link #stop} nothing is told. One timer is armed for each silence that may
 * be, not for each part that comes. Thread safety: used on the event loop only.
 */
final class InactivityTimer {

  private final EventLoop loop;
  private final long timeoutNanos;
  private final Runnable onTimeout;
  private long lastActivityNanos;
  private boolean stopped;

  /**
   * Creates a watch that is not started.
   *
   * @param onSilence run for each time of {@code longest} in which nothing came
   */
  InactivityTimer(EventLoop loop, Duration longest, Runnable onSilence) {
    this.loop = loop;
    this.timeoutNanos = longest.toNanos();
    this.onTimeout = onSilence;
  }

  void start(long nowNanos) {
    lastActivityNanos = nowNanos;
    arm(timeoutNanos);
  }

  /** Something came. */
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
