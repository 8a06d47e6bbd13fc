package org.comfreygap.settings;

/**
 * Whether the requests of a route may run more than once.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.2
 */
public enum RequestKind {
  /** May run any number of times. */
  SAFE,
  /** Runs at most once. */
  UNSAFE,
  /** The response is an event stream; runs at most once unless the route is resumable. */
  STREAM
}
