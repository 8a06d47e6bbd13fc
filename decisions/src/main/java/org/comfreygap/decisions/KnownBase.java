package org.comfreygap.decisions;

import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.StreamOrigins.Origin;

/**
 * The base of a route as a gateway knows it.
 *
 * <p>Invariant: it is relied on for {@link StreamOrigins#BASE_LIFETIME} by either clock, since the
 * monotonic clock of a suspended instance stands still while the base may change. Thread safety:
 * immutable.
 *
 * @param origin origin of the streams that are not recorded
 * @param askedNanos monotonic time at which the call began that learned it
 * @param askedWallMillis time of day of that moment, in milliseconds since the epoch
 * @since 0.5
 */
public record KnownBase(Origin origin, long askedNanos, long askedWallMillis) {

  /** Returns true when a stream that begins at {@code begun} now needs no record. */
  public boolean covers(Origin begun, long nowNanos, long nowWallMillis) {
    long lifetime = StreamOrigins.BASE_LIFETIME.toMillis();
    return origin.equals(begun)
        && TimeUnit.NANOSECONDS.toMillis(nowNanos - askedNanos) < lifetime
        && nowWallMillis - askedWallMillis < lifetime;
  }
}
