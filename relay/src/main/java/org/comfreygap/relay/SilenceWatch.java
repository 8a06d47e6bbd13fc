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
final class SilenceWatch {

  private final EventLoop loop;
  private final long longestNanos;
  private final Runnable onSilence;
  private long heardNanos;
  private boolean stopped;

  /**
   * Creates a watch that is not started.
   *
   * @param onSilence run for each time of {@code longest} in which nothing came
   */
  SilenceWatch(EventLoop loop, Duration longest, Runnable onSilence) {
    this.loop = loop;
    this.longestNanos = longest.toNanos();
    this.onSilence = onSilence;
  }

  void start(long nowNanos) {
    heardNanos = nowNanos;
    arm(longestNanos);
  }

  /** Something came. */
  void heard(long nowNanos) {
    heardNanos = nowNanos;
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
    long left = longestNanos - (now - heardNanos);
    if (left > 0) {
      arm(left);
      return;
    }
    heardNanos = now;
    arm(longestNanos);
    onSilence.run();
  }
}
