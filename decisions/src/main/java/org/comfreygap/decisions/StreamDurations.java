package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the streams of each route last, so that a gateway that stops takes no stream that
 * it would cut.
 *
 * <p>A stream that is cut costs its whole run and reaches its caller as a failure; one that is
 * refused costs its caller another try, at a gateway that goes on. So the longest stream counts,
 * not a usual one: a route's streams are expected to last as long as the longest of the last one to
 * two {@link #GENERATION}s and a {@link #MARGIN}, and never less than is assumed: a stream that
 * arrives late in a stop must not be cut because those before it happened to be short.
 *
 * <pre>{@code
 * durations.served("chat", ended - arrived, now);
 * if (stopEnd - now < durations.expectedNanos("chat", now)) { refuse(); }
 * }</pre>
 *
 * <p>Invariants: one route's streams have no influence on another's; at most {@link #MAX_ROUTES}
 * routes are kept, with numbers of a fixed size for each. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class StreamDurations {

  /** Time over which streams are gathered; those of this and of the generation before count. */
  public static final Duration GENERATION = Duration.ofSeconds(60);

  /** Ratio of what is expected to the longest stream; the next one may be a little longer. */
  public static final double MARGIN = 1.1;

  /** Routes that are kept; of others the assumption is expected until one is unused. */
  public static final int MAX_ROUTES = 256;

  private final long assumedNanos;
  private final Map<String, Series> byRoute = new HashMap<>();

  /**
   * Creates an object that knows no stream.
   *
   * @param assumed least duration that is expected
   */
  public StreamDurations(Duration assumed) {
    this.assumedNanos = assumed.toNanos();
  }

  /**
   * Records a stream that was served whole.
   *
   * @param nanos time from its arrival to its end
   */
  public void served(String route, long nanos, long nowNanos) {
    if (!byRoute.containsKey(route)) {
      byRoute.values().removeIf(known -> known.isUnused(nowNanos));
      if (byRoute.size() >= MAX_ROUTES) {
        return;
      }
    }
    byRoute.computeIfAbsent(route, added -> new Series(nowNanos)).served(nanos, nowNanos);
  }

  /** Returns the time, in nanoseconds, that a stream of a route is expected to last at most. */
  public long expectedNanos(String route, long nowNanos) {
    Series known = byRoute.get(route);
    if (known == null) {
      return assumedNanos;
    }
    known.advance(nowNanos);
    long longest = Math.max(known.longest, known.longestBefore);
    return Math.max(assumedNanos, (long) (longest * MARGIN));
  }

  /** Returns the number of routes that are kept. */
  int size() {
    return byRoute.size();
  }

  /** The streams of one route. */
  private static final class Series {

    private int streams;
    private int streamsBefore;
    private long longest;
    private long longestBefore;
    private long sinceNanos;

    Series(long nowNanos) {
      sinceNanos = nowNanos;
    }

    void served(long nanos, long nowNanos) {
      advance(nowNanos);
      streams++;
      longest = Math.max(longest, nanos);
    }

    boolean isUnused(long nowNanos) {
      advance(nowNanos);
      return streams + streamsBefore == 0;
    }

    void advance(long nowNanos) {
      long passed = (nowNanos - sinceNanos) / GENERATION.toNanos();
      if (passed <= 0) {
        return;
      }
      streamsBefore = passed == 1 ? streams : 0;
      longestBefore = passed == 1 ? longest : 0;
      streams = 0;
      longest = 0;
      sinceNanos += passed * GENERATION.toNanos();
    }
  }
}
