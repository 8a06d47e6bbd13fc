package org.comfreygap.testkit;

import java.util.Locale;

/**
 * Faults that can be injected into a fake endpoint. In files and in {@code POST /fault} a fault is
 * written as its constant in lower case with hyphens.
 *
 * @since 0.1
 */
public enum EndpointFault {
  /** The process restarts without state: down for {@code millis}, then cold. */
  RESTART,
  /** All bytes on open connections are dropped in both directions; new connections work. */
  SILENCE,
  /** The connection closes after half of the body, for the next {@code count} responses. */
  TRUNCATE,
  /** The next {@code count} responses are cut short with well-formed HTTP framing. */
  TRUNCATE_CLEAN,
  /** The next {@code count} responses are delayed by {@code millis}. */
  LATE,
  /** The next {@code count} responses carry the content of another request's response. */
  CROSSED,
  /** The next {@code count} loads fail after their load time. */
  FAIL_LOADS,
  /** The next {@code count} loads succeed, but the connection closes without a response. */
  LOST_LOAD_ACK,
  /** The next {@code count} requests run, but the connection closes without a response. */
  LOST_RUN_ACK,
  /** The endpoint pauses all processing for {@code millis}. */
  FREEZE,
  /** New connections are closed at once, and open ones are dropped, for {@code millis}. */
  REFUSE,
  /** A request for an adapter that is not resident runs on the base model, until cleared. */
  BASE_FALLBACK,
  /** All bytes received from then on are searched for {@code text}. */
  WATCH_KEY;

  /** Returns the fault written as {@code name}. */
  public static EndpointFault parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
