package org.comfreygap.testkit;

import java.util.Locale;

/**
 * The faults that can be switched on in a fake endpoint. The name in files and in {@code POST
 * /fault} is the constant in lower case with hyphens.
 *
 * @since 0.1
 */
public enum EndpointFault {
  /** The process restarts empty, is down for {@code millis} and then cold. */
  RESTART,
  /** Every open connection loses all bytes in both directions; new connections work. */
  SILENCE,
  /** The next {@code count} answers end with a closed connection after half of their bytes. */
  TRUNCATE,
  /** The next {@code count} answers end early with well-formed HTTP framing. */
  TRUNCATE_CLEAN,
  /** The next {@code count} answers start {@code millis} late. */
  LATE,
  /** The next {@code count} answers carry the answer of another request. */
  CROSSED,
  /** The next {@code count} loads fail after their load time. */
  FAIL_LOADS,
  /** The next {@code count} loads succeed, but the connection is closed without an answer. */
  LOST_LOAD_ACK,
  /** The next {@code count} requests run, but the connection is closed without an answer. */
  LOST_RUN_ACK,
  /** Nothing proceeds for {@code millis}. */
  FREEZE,
  /** New connections are closed at once, and open ones are dropped, for {@code millis}. */
  REFUSE,
  /** A request for an adapter that is not resident runs on the base model, until cleared. */
  BASE_FALLBACK,
  /** Received bytes are searched for {@code text} from now on. */
  WATCH_KEY;

  /** Returns the fault written as {@code name}. */
  public static EndpointFault parse(String name) {
    return valueOf(name.toUpperCase(Locale.ROOT).replace('-', '_'));
  }
}
