package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * One gateway's budgets of retries, one for each pool of endpoints.
 *
 * <p>The fleet's bound holds for each pool: requests for one pool do not pay for retries at
 * another. The fixed number of the bound is divided by the number of gateways. A gateway takes no
 * part of it in the first window after its start, since the process that ran before in its place
 * may have spent the part, and none while the number of gateways is not known.
 *
 * <pre>{@code
 * budgets.requested("app", now);
 * if (budgets.tryRetry("app", fleet.known(now, wallNow), now)) { sendAgain(); }
 * }</pre>
 *
 * <p>A retry that waits after it was allowed is counted again when it is written, since the bound
 * is on arrivals.
 *
 * <p>Invariant: in any window the retries at a pool, summed over all gateways, stay within the
 * fleet's bound, as long as no gateway knows too small a fleet; a window is kept only while it
 * counts something or no pool is added. Thread safety: not thread-safe.
 *
 * @since 0.6
 */
public final class RetryBudgets {

  private final double ratio;
  private final double extra;
  private final Duration window;
  private final long extraSinceNanos;
  private final Map<String, RetryWindow> byPool = new HashMap<>();

  /**
   * Creates budgets without requests.
   *
   * @param ratio retries allowed for each request
   * @param extra further retries allowed to the whole fleet
   * @param window length of the sliding window
   * @param startNanos monotonic time of the start of this process
   */
  public RetryBudgets(double ratio, double extra, Duration window, long startNanos) {
    this.ratio = ratio;
    this.extra = extra;
    this.window = window;
    this.extraSinceNanos = startNanos + window.toNanos();
  }

  /** Counts the first attempt of a request for {@code pool}. */
  public void requested(String pool, long nowNanos) {
    window(pool, nowNanos).requested(nowNanos);
  }

  /**
   * Counts a retry at {@code pool} if its budget allows it.
   *
   * @param gateways gateways among which the fixed number is divided; empty when not known
   */
  public boolean tryRetry(String pool, OptionalInt gateways, long nowNanos) {
    return window(pool, nowNanos).tryRetry(part(gateways, nowNanos), nowNanos);
  }

  /**
   * Counts a retry that was counted at {@code countedNanos} now instead, if the budget still allows
   * it; otherwise it is no longer counted.
   *
   * @param gateways gateways among which the fixed number is divided; empty when not known
   * @since 0.7
   */
  public boolean recount(String pool, long countedNanos, OptionalInt gateways, long nowNanos) {
    return window(pool, nowNanos).recount(countedNanos, part(gateways, nowNanos), nowNanos);
  }

  /** Returns how many retries are allowed at {@code pool} now; may have a fraction. */
  public double remaining(String pool, OptionalInt gateways, long nowNanos) {
    return window(pool, nowNanos).remaining(part(gateways, nowNanos), nowNanos);
  }

  /**
   * Returns how many retries the bound allows at {@code pool} in the window, those counted
   * included.
   *
   * @since 0.8
   */
  public double allowed(String pool, OptionalInt gateways, long nowNanos) {
    return window(pool, nowNanos).allowed(part(gateways, nowNanos), nowNanos);
  }

  /** Returns the lowest number of retries that any pool has left; 0 before the first request. */
  public double lowest(OptionalInt gateways, long nowNanos) {
    return byPool.keySet().stream()
        .mapToDouble(pool -> remaining(pool, gateways, nowNanos))
        .min()
        .orElse(0);
  }

  /**
   * Returns this gateway's part of the fixed number, which it may use at each pool.
   *
   * @param gateways gateways among which the fixed number is divided; empty when not known
   * @since 0.7
   */
  public double part(OptionalInt gateways, long nowNanos) {
    boolean entitled = gateways.isPresent() && nowNanos - extraSinceNanos >= 0;
    return entitled ? extra / Math.max(1, gateways.getAsInt()) : 0;
  }

  /** Returns the number of pools with a window. */
  int size() {
    return byPool.size();
  }

  private RetryWindow window(String pool, long nowNanos) {
    if (!byPool.containsKey(pool)) {
      byPool.values().removeIf(known -> known.isEmpty(nowNanos));
      byPool.put(pool, new RetryWindow(ratio, window));
    }
    return byPool.get(pool);
  }
}
