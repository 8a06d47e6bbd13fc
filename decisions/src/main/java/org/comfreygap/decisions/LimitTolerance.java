package org.comfreygap.decisions;

/**
 * How far the fleet may exceed a customer's limit within a window, and how that is divided.
 *
 * <p>Most of it widens the bucket that control keeps, so that a customer with a small limit may
 * have more than one request at once. A small part may be borrowed by gateways before control has
 * granted it. The rest is for grants of gateways that died, and for requests that were admitted in
 * one window and reach their endpoints in the next.
 *
 * <p>Invariant: in a window of {@code windowSeconds} the fleet uses at most (rate * window + burst)
 * * (1 + share) + tokens. Thread safety: immutable.
 *
 * @param share tolerated share of what the limit allows in a window
 * @param tokens tokens tolerated besides
 * @param windowSeconds length of the window in seconds
 * @since 0.2
 */
public record LimitTolerance(double share, long tokens, double windowSeconds) {

  /** No tolerance: nothing beyond the limit, and nothing is spent before it is granted. */
  public static final LimitTolerance NONE = new LimitTolerance(0, 0, 1);

  /** The part that widens the bucket at control. */
  static final double BUCKET_PART = 0.7;

  /** The part that all gateways together may borrow. */
  static final double GATEWAY_PART = 0.15;

  /** Returns the rate of the bucket at control. */
  public long rate(long tokensPerSecond) {
    return (long) (tokensPerSecond * (1 + BUCKET_PART * share));
  }

  /** Returns the burst of the bucket at control. */
  public long burst(long burstTokens) {
    return (long) (burstTokens * (1 + BUCKET_PART * share) + BUCKET_PART * tokens);
  }

  /** Returns the tokens that one of {@code gateways} may borrow of a customer's limit. */
  public long borrowable(long tokensPerSecond, long burstTokens, int gateways) {
    double allowed = tokensPerSecond * windowSeconds + burstTokens;
    return (long) (GATEWAY_PART * (share * allowed + tokens) / Math.max(1, gateways));
  }
}
