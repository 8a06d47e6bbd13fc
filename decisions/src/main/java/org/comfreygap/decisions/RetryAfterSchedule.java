package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Assigns retry times to the refused callers of one customer, spread over the time in which the
 * customer's limit can admit them.
 *
 * <p>With a single retry time, the callers refused within one second return within the same 50 ms,
 * and nearly all of them are refused again.
 *
 * <pre>{@code
 * Duration wait = schedule.next(tokens, tokensPerSecond, earliest, now);
 * }</pre>
 *
 * <p>Invariant: the tokens of requests due to return within any second are at most one second's
 * tokens of the limit, up to {@link #MAX_RETRY_AFTER}. Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class RetryAfterSchedule {

  /**
   * Beyond this time the demand will have changed; the longest deadlines of callers are as long.
   */
  public static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(30);

  private static final double NANOS_PER_SECOND = 1e9;

  private long nextNanos;
  private boolean used;

  /**
   * Returns the time after which a refused request should be retried.
   *
   * @param tokens tokens of the request
   * @param tokensPerSecond share of the limit available to this gateway, at least 1
   * @param time before which no credit is available
   */
  public Duration next(long tokens, double tokensPerSecond, Duration earliest, long nowNanos) {
    long soonest = nowNanos + earliest.toNanos();
    long start = used && nextNanos - soonest > 0 ? nextNanos : soonest;
    long length = (long) (tokens / Math.max(1, tokensPerSecond) * NANOS_PER_SECOND);
    long longest = nowNanos + MAX_RETRY_AFTER.toNanos();
    used = true;
    nextNanos = start + length - longest > 0 ? longest : start + length;
    return Duration.ofNanos(Math.min(start, longest) - nowNanos);
  }
}
