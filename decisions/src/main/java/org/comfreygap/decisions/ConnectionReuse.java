package org.comfreygap.decisions;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether a connection to an endpoint may carry another request after its first one.
 *
 * <p>A faulty endpoint may write a response once more, at any time. On a connection that carries
 * one request the copy follows the last response and does no harm; on a kept one it may end up
 * inside the response to a later request, where it can't always be detected. An endpoint that has
 * sent bytes of no request is likely to do so again.
 *
 * <pre>{@code
 * if (reuse.allowed(now)) { keep(connection); } else { connection.close(); }
 * }</pre>
 *
 * <p>Invariant: reuse is suspended until {@link #SUSPENSION} has passed without another fault.
 * Thread safety: not thread-safe.
 *
 * @since 0.7
 */
public final class ConnectionReuse {

  /** Time without another fault after which connections may be kept again. */
  public static final Duration SUSPENSION = Duration.ofSeconds(60);

  private OptionalLong lastFaultNanos = OptionalLong.empty();

  /**
   * Records that the endpoint sent bytes that belong to no request in progress.
   *
   * @return true when this suspends the reuse, false when it was suspended before
   */
  public boolean faultSeen(long nowNanos) {
    boolean begins = allowed(nowNanos);
    lastFaultNanos = OptionalLong.of(nowNanos);
    return begins;
  }

  /** Returns true when a connection that has carried a request may carry another one. */
  public boolean allowed(long nowNanos) {
    return lastFaultNanos.isEmpty()
        || nowNanos - lastFaultNanos.getAsLong() >= SUSPENSION.toNanos();
  }

  /** Ends a suspension whose time has passed, and returns true when there was one. */
  public boolean endElapsed(long nowNanos) {
    boolean elapsed = lastFaultNanos.isPresent() && allowed(nowNanos);
    if (elapsed) {
      lastFaultNanos = OptionalLong.empty();
    }
    return elapsed;
  }
}
