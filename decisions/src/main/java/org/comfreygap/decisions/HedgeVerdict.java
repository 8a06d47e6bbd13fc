package org.comfreygap.decisions;

import java.util.Locale;

/**
 * Whether a second attempt of a slow request is sent, and if not, why.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.8
 */
public enum HedgeVerdict {
  /** The second attempt is sent. */
  SEND,
  /** Too few attempts are known to say which one is slow. */
  NOT_LEARNED,
  /** The first attempt is not sent yet, or its response has begun. */
  FIRST_NOT_AWAITED,
  /** The request, an equal one or a part of its prompt may have crashed an endpoint. */
  SUSPECT,
  /** The route allows no further run. */
  ATTEMPTS_USED,
  /** The response of a second attempt is not expected before the deadline. */
  DEADLINE_NEAR,
  /** The response of a second attempt is not expected within the target latency. */
  TARGET_MISSED,
  /** Requests wait for an endpoint. */
  REQUESTS_WAIT,
  /** Few places of the pool are free. */
  PLACES_SHORT,
  /** No other endpoint of another instance accepts the request. */
  NO_ALTERNATIVE,
  /** The other endpoint has no free place. */
  ALTERNATIVE_FULL,
  /** The other endpoint would have to load the adapter. */
  ALTERNATIVE_LACKS_ADAPTER,
  /** The other endpoint is cold, has a request limit, or is given prompts one by one. */
  ALTERNATIVE_LIMITED,
  /** The settings or versions are changing, so that the two responses could differ. */
  VERSION_MAY_DIFFER,
  /** The operator's share of the requests is used. */
  SHARE_USED,
  /** What is left of the retry budget is kept for retries. */
  BUDGET_KEPT;

  /** Returns true when the second attempt is sent. */
  public boolean sends() {
    return this == SEND;
  }

  /** Returns the name as written in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
