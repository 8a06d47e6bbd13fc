package org.comfreygap.control;

/**
 * A duty towards the platform that only one process may perform at a time.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.8
 */
public enum Duty {
  /** Reports the requests that began in each window of time, by customer. */
  USAGE,
  /** Orders the number of endpoints of a pool in an availability zone. */
  ENDPOINTS
}
