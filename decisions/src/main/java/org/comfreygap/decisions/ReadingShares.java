package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides when an adapter takes so much of what an engine may read that another engine should hold
 * it too, before its requests have to wait.
 *
 * <p>Times are in microseconds at the usual pace. What was granted is counted by adapter in spans
 * of {@link #SPAN}; a full span or the one in progress decides.
 *
 * <pre>{@code
 * boolean crowded = shares.granted(adapterHash, 76_000, 700_000, now);
 * }</pre>
 *
 * <p>Invariant: between two positive results for one adapter lies {@link #MIN_SPACING}. Thread
 * safety: not thread-safe.
 *
 * @since 0.8
 */
public final class ReadingShares {

  /** Time over which the prompts of an adapter are added up. */
  public static final Duration SPAN = Duration.ofSeconds(1);

  /** Time in which a further home loads the adapter and takes a part of its requests. */
  public static final Duration MIN_SPACING = Duration.ofSeconds(1);

  /** Share of what the engine may read from which one adapter crowds it. */
  public static final double CROWDED_SHARE = 0.5;

  private final Map<Long, Long> readMicros = new HashMap<>();
  private final Map<Long, Long> toldNanos = new HashMap<>();
  private long spanNanos;
  private boolean begun;

  /**
   * Counts a granted prompt and returns true when its adapter should get a further home now.
   *
   * @param capacityMicros time to read in one span that does not hurt the running streams
   */
  public boolean granted(long adapter, long read, double capacityMicros, long nowNanos) {
    if (!begun || nowNanos - spanNanos >= SPAN.toNanos()) {
      begun = true;
      spanNanos = nowNanos;
      readMicros.clear();
      toldNanos.values().removeIf(told -> nowNanos - told >= MIN_SPACING.toNanos());
    }
    boolean crowded =
        readMicros.merge(adapter, read, Long::sum) > capacityMicros * CROWDED_SHARE
            && !toldNanos.containsKey(adapter);
    if (crowded) {
      toldNanos.put(adapter, nowNanos);
    }
    return crowded;
  }
}
