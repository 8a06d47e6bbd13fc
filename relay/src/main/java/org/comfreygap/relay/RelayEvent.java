package org.comfreygap.relay;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of gateways that forward requests by routes.
 *
 * <p>Thread safety: immutable.
 */
public enum RelayEvent implements Event {
  REQUEST_REJECTED(3501, Level.INFO, "The gateway refused a request."),
  ATTEMPT_ENDED(3502, Level.INFO, "An attempt at an endpoint ended without a complete response."),
  REQUEST_FAILED(3503, Level.INFO, "A request ended without an endpoint's complete response."),
  REQUEST_ABANDONED(3504, Level.INFO, "The caller disconnected before its response was complete."),
  ADAPTER_REFUSED(3505, Level.INFO, "A sidecar did not make an adapter resident."),
  REQUEST_SERVED(3506, Level.INFO, "A request was served by an endpoint."),
  REQUEST_SENT(3507, Level.INFO, "An endpoint was chosen for a request, which is sent there."),
  SEND_HELD_BACK(3508, Level.INFO, "An endpoint's request limit held back a request."),
  RESPONSE_DISTRUSTED(3509, Level.INFO, "A response was not taken for that to the open request."),
  ENDPOINT_LISTED(3510, Level.INFO, "An endpoint appeared in the platform's list."),
  ENDPOINT_CHANGED(3511, Level.INFO, "An endpoint started or stopped leaving."),
  ENDPOINT_GONE(3512, Level.INFO, "An endpoint is no longer in the platform's list."),
  LISTING_FAILED(3513, Level.WARN, "The platform's list of endpoints could not be read."),
  LISTING_UNREADABLE(3514, Level.INFO, "The number of unreadable entries of the list changed."),
  LISTING_SOURCE_CHANGED(3515, Level.INFO, "The list of endpoints is read from another source."),
  ENDPOINT_LIMIT_CHANGED(3516, Level.INFO, "An endpoint's stated request limit changed."),
  ENDPOINT_LIMIT_INVALID(3517, Level.WARN, "An endpoint stated a request limit that is not valid."),
  STREAMS_NOT_RECORDED(3518, Level.WARN, "Control did not take where streams begin."),
  STREAM_NOT_CONTINUED(3519, Level.INFO, "A stream could not go on where it began."),
  SIDECAR_CONNECTED(3520, Level.INFO, "The sidecar beside an endpoint is connected."),
  SIDECAR_LOST(3521, Level.INFO, "The connection to a sidecar ended."),
  CRASH_REPORTED(3522, Level.WARN, "The requests at a crashed endpoint were reported."),
  CRASH_NOT_REPORTED(3523, Level.WARN, "A crashed endpoint could not be reported to control."),
  CRASH_NOT_SEEN(3524, Level.INFO, "An endpoint with interrupted requests refuses no connections."),
  ENDPOINT_CRASHED(3525, Level.WARN, "An endpoint ended with requests that may have crashed it."),
  BEGAN_NOT_REPORTED(3526, Level.WARN, "Responses on suspected parts could not be reported."),
  ENDPOINT_SILENT(3527, Level.WARN, "Nothing is heard of an endpoint; it gets no more requests."),
  ENDPOINT_HEARD(3528, Level.INFO, "A silent endpoint responded or its sidecar reported again."),
  CREDIT_EXCHANGE_FAILED(3530, Level.WARN, "Control did not reply to an exchange of credit."),
  TABLES_IN_FORCE(3540, Level.INFO, "Routing tables are in force."),
  READINESS_CHANGED(3541, Level.INFO, "The gateway became ready or not ready for new work."),
  CALLER_REJECTED(3542, Level.INFO, "A caller's connection failed or sent an invalid request."),
  TASK_FAILED(3543, Level.WARN, "A task on the event loop failed; those after it are run."),
  SURPLUS_RECEIVED(3544, Level.INFO, "An endpoint sent bytes that belong to no request."),
  RETRY_PART_CHANGED(3545, Level.INFO, "A gateway's part of the fixed number of retries changed."),
  RESPONSE_NOT_DELIVERED(
      3546, Level.INFO, "A caller's connection ended before its whole response."),
  REQUEST_NOT_ANSWERED(3547, Level.INFO, "A request that was read whole was dropped unanswered."),
  REQUEST_STEP_FAILED(3548, Level.WARN, "An error in this process ended a request."),
  LOOP_PAUSED(3549, Level.INFO, "The event loop stalled; what arrived meanwhile is read late."),
  REUSE_SUSPENDED(3550, Level.INFO, "Each connection to an endpoint carries one request."),
  REUSE_RESUMED(3551, Level.INFO, "Connections to an endpoint are kept after a response again."),
  RESPONSE_TOO_LARGE(3555, Level.WARN, "A response exceeded a limit; its connection was closed."),
  SECOND_ATTEMPT_SENT(3560, Level.INFO, "A second attempt was sent beside a slow first one."),
  SECOND_ATTEMPT_ENDED(3561, Level.INFO, "A request goes on with one of its two attempts."),
  PAUSES_TOO_LONG(3562, Level.INFO, "Streams pause too long; prompts are sent by permit.");

  private final int number;
  private final Level level;
  private final String description;

  RelayEvent(int number, Level level, String description) {
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
