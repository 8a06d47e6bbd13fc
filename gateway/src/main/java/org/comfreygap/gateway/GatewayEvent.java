package org.comfreygap.gateway;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of a gateway. Refusals caused by the caller are only counted, because a caller over its
 * limit would otherwise evict all other events from the timeline.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum GatewayEvent implements Event {
  REQUEST_REFUSED(3000, Level.WARN, "A request was refused because of a system condition."),
  REQUEST_RETRIED(3001, Level.INFO, "A request is retried after an attempt did not complete."),
  REQUEST_FAILED(3002, Level.WARN, "A request failed after at least one attempt."),
  ANSWER_BROKEN(3003, Level.WARN, "A partly sent response could not be completed."),
  ANSWER_CONTINUED(3004, Level.INFO, "An interrupted response was completed by another attempt."),
  CALLER_GONE(3005, Level.INFO, "The caller disconnected before the response was complete."),
  REQUEST_ERROR(3006, Level.ERROR, "A request failed with an unexpected exception."),
  ATTEMPT_INTERRUPTED(3010, Level.WARN, "An attempt's connection was silent, closed or invalid."),
  ATTEMPT_ATTACHED(3011, Level.INFO, "An attempt continues on a new connection."),
  ATTEMPT_CANCEL_FAILED(3012, Level.WARN, "A cancellation did not reach the sidecar."),
  ENDPOINT_UNREACHABLE(3013, Level.WARN, "No connection to a sidecar could be opened."),
  ENDPOINT_CRASHED(3020, Level.WARN, "Requests in flight at a crash are isolated as suspects."),
  CRASH_REPORT_FAILED(3021, Level.WARN, "A crash could not be reported to control."),
  CRASH_REPORTED(3022, Level.INFO, "A crash was reported to control."),
  CREDIT_EXCHANGE_FAILED(3030, Level.WARN, "Control did not reply to a credit exchange."),
  LEDGER_UNAVAILABLE(3040, Level.WARN, "The request ledger was unavailable."),
  DRAIN_STARTED(
      3050, Level.INFO, "The gateway is no longer ready and finishes requests in progress."),
  DRAIN_ENDED(
      3051, Level.INFO, "The drain ended; the field complete tells whether all requests finished.");

  private final int number;
  private final Level level;
  private final String description;

  GatewayEvent(int number, Level level, String description) {
    this.number = number;
    this.level = level;
    this.description = description;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String description() {
    return description;
  }
}
