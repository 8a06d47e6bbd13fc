package org.comfreygap.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointPace;

/**
 * The pace of an endpoint and the prompts that it is known to have been given, as far as this
 * gateway knows.
 *
 * <p>Invariant: what its sidecar stated last and this gateway's sends since then are counted once.
 * Thread safety: used on the event loop only.
 */
final class EndpointReading {

  /** Time for which a sent prompt counts: the usual limit on pauses between events. */
  static final Duration SPAN = Duration.ofMillis(300);

  private EndpointPace pace = new EndpointPace();
  private double readingMicros;
  private long readingNanos;
  private long readyNanos;
  private boolean waits;
  private boolean statedBySidecar;

  EndpointPace pace() {
    return pace;
  }

  /**
   * Returns true when the sidecar beside the endpoint has stated the pace, so that it grants
   * prompts; one of an earlier release does not.
   */
  boolean isGranted() {
    return statedBySidecar;
  }

  /** Records that the sidecar states no pace; one that it stated before no longer holds. */
  void paceWithdrawn() {
    if (statedBySidecar) {
      statedBySidecar = false;
      pace = new EndpointPace();
    }
  }

  /** Records that the connection to the sidecar ended. */
  void sidecarLost() {
    statedBySidecar = false;
  }

  /** Records a pace that was read from a response. */
  void paceStated(int percent, long nowNanos) {
    pace.stated(percent, nowNanos);
  }

  /** Records a pace that the sidecar passed on. */
  void paceStated(int percent, long millisAgo, long nowNanos) {
    statedBySidecar = true;
    pace.stated(percent, nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, millisAgo)));
  }

  /** Records the time to read what the sidecar granted lately. */
  void readingStated(double micros, long nowNanos) {
    readingMicros = micros;
    readingNanos = nowNanos;
  }

  /** Records the time until the endpoint may read a prompt, as its sidecar stated it. */
  void waitStated(long nanos, long nowNanos) {
    readyNanos = nowNanos + nanos;
    waits = true;
  }

  /** Returns the time until the endpoint may read a prompt, as far as is known. */
  long waitNanos(long nowNanos) {
    return waits ? Math.max(0, readyNanos - nowNanos) : 0;
  }

  /** Records a prompt that this gateway sends. */
  void sent(double readMicros, long nowNanos) {
    readingMicros = readingMicros(nowNanos) + readMicros;
    readingNanos = nowNanos;
  }

  /** Returns the time to read what was sent within the last span, at the usual pace. */
  double readingMicros(long nowNanos) {
    double left = 1 - (nowNanos - readingNanos) / (double) SPAN.toNanos();
    return readingMicros * Math.max(0, Math.min(1, left));
  }

  /** Returns the pace and its age, for the log. */
  String describe(long nowNanos) {
    return ",pace:"
        + pace.lastPercent()
        + ",paceMillisAgo:"
        + TimeUnit.NANOSECONDS.toMillis(pace.ageNanos(nowNanos))
        + ",usualPace:"
        + Math.round(100 * pace.usual())
        + ",readingMicros:"
        + Math.round(readingMicros(nowNanos));
  }
}
