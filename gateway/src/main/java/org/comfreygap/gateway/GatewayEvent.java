package org.comfreygap.gateway;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of a gateway. Refusals for a reason on the caller's side are only counted, since a caller
 * over its limit would otherwise push everything else out of the timeline.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum GatewayEvent implements Event {
  REQUEST_REFUSED(3000, Level.WARN, "A request was refused for a reason on the system's side."),
  REQUEST_RETRIED(3001, Level.INFO, "A request is tried again after an attempt did not complete."),
  REQUEST_FAILED(3002, Level.WARN, "A request was given up after at least one attempt."),
  ANSWER_BROKEN(3003, Level.WARN, "An answer that had begun could not be completed."),
  ANSWER_CONTINUED(3004, Level.INFO, "A broken answer continues from another attempt."),
  CALLER_GONE(3005, Level.INFO, "The caller closed its connection before the answer ended."),
  REQUEST_ERROR(3006, Level.ERROR, "A request failed for an unexpected reason."),
  ATTEMPT_INTERRUPTED(3010, Level.WARN, "The connection of an attempt was silent, cut or wrong."),
  ATTEMPT_ATTACHED(3011, Level.INFO, "An attempt continues on a new connection."),
  ATTEMPT_CANCEL_FAILED(3012, Level.WARN, "A cancellation did not reach the sidecar."),
  ENDPOINT_UNREACHABLE(3013, Level.WARN, "No connection to a sidecar could be opened."),
  ENDPOINT_CRASHED(3020, Level.WARN, "Requests in flight at a crash are suspects and isolated."),
  CRASH_REPORT_FAILED(3021, Level.WARN, "A crash could not be reported to control."),
  CRASH_REPORTED(3022, Level.INFO, "Control was told about a crash."),
  CREDIT_EXCHANGE_FAILED(3030, Level.WARN, "Control did not answer a credit exchange."),
  LEDGER_UNAVAILABLE(3040, Level.WARN, "The request ledger did not answer."),
  DRAIN_STARTED(3050, Level.INFO, "The gateway is no longer ready and finishes its requests."),
  DRAIN_ENDED(3051, Level.INFO, "The gateway has finished its requests.");

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
