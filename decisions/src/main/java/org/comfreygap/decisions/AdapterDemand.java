package org.comfreygap.decisions;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How often each adapter is asked for at one gateway, and whether that pays a place of its own in
 * the gateway's availability zone.
 *
 * <pre>{@code
 * if (demand.used(name, now) && servedInAnotherZone) { loadHere(); }
 * }</pre>
 *
 * <p>Invariant: at most {@link #MAX_ADAPTERS} are counted; the one unused for longest is forgotten
 * first. Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class AdapterDemand {

  /** Time in which the rate of an unused adapter falls to 1/e: demand moves within such times. */
  public static final Duration DECAY = Duration.ofSeconds(10);

  /**
   * Requests a second at one gateway from which an adapter is popular. A stream between zones costs
   * about a tenth of a load from the store (glasnik-mreza: 0.064 against 0.68 of a plain request);
   * with three gateways in a zone a load is paid back within 15 s.
   */
  public static final double POPULAR_RATE = 0.25;

  /** Adapters that are counted; each takes about 150 bytes. */
  public static final int MAX_ADAPTERS = 1_000;

  private final Map<AdapterPlaces.Name, Rate> rates =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<AdapterPlaces.Name, Rate> eldest) {
          return size() > MAX_ADAPTERS;
        }
      };

  private record Rate(double perSecond, long atNanos) {

    double now(long nowNanos) {
      return perSecond * Math.exp(-Math.max(0, nowNanos - atNanos) / (double) DECAY.toNanos());
    }
  }

  /** Counts a request; returns true when its adapter is popular here. */
  public boolean used(AdapterPlaces.Name name, long nowNanos) {
    Rate before = rates.get(name);
    double decayed = before == null ? 0 : before.now(nowNanos);
    Rate after = new Rate(decayed + 1.0 / DECAY.toSeconds(), nowNanos);
    rates.put(name, after);
    return after.perSecond() >= POPULAR_RATE;
  }

  /** Returns how many adapters are counted. */
  public int size() {
    return rates.size();
  }
}
