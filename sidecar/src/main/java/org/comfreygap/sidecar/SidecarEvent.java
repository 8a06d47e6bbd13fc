package org.comfreygap.sidecar;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of the sidecar.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum SidecarEvent implements Event {
  ENDPOINT_LEASE_GAINED(4001, Level.INFO, "Control granted the lease of the endpoint."),
  ENDPOINT_LEASE_LOST(4002, Level.WARN, "The endpoint lease expired; no attempts are dispatched."),
  ENDPOINT_LEASE_HELD(4003, Level.INFO, "Another sidecar holds the endpoint lease."),
  ENDPOINT_BOOT_SEEN(4010, Level.INFO, "The endpoint runs under a boot id not seen before."),
  ENDPOINT_CRASHED(4011, Level.WARN, "The endpoint restarted while attempts were in flight."),
  ENDPOINT_UNREACHABLE(4012, Level.WARN, "The endpoint does not respond to state or health calls."),
  ENDPOINT_REACHABLE(4013, Level.INFO, "The endpoint responds again."),
  CRASH_REPORTED(4014, Level.WARN, "The requests in flight at a crash were reported to control."),
  CRASH_NOT_REPORTED(4015, Level.WARN, "A crash could not be reported to control."),
  ADAPTER_LOADED(4020, Level.DEBUG, "The engine acknowledged an adapter load."),
  ADAPTER_UNLOADED(4021, Level.DEBUG, "The engine acknowledged an adapter unload."),
  ADAPTER_COMMAND_FAILED(4022, Level.WARN, "A load or unload was refused or got no reply."),
  FENCING_STALE(4023, Level.WARN, "The engine refused a command with an old fencing number."),
  PERMIT_NOT_RELEASED(4024, Level.INFO, "A load permit was not released; it expires by itself."),
  ATTEMPT_REFUSED(4030, Level.DEBUG, "An attempt was refused before it was dispatched."),
  ATTEMPT_FAILED(4031, Level.INFO, "An attempt failed after it was dispatched."),
  ATTEMPT_ABANDONED(4032, Level.INFO, "An attempt was cancelled: no gateway attached in time."),
  ATTEMPT_RESUMED(
      4033, Level.INFO, "A response was resumed at the engine after a connection failure."),
  ANSWER_REJECTED(4034, Level.WARN, "A response was truncated or belongs to another request."),
  RESPONSE_TOO_LARGE(4035, Level.WARN, "A response exceeded a limit; its connection was closed."),
  SIGNATURE_REJECTED(4040, Level.WARN, "A message without a valid signature was refused.");

  private final int number;
  private final Level level;
  private final String description;

  SidecarEvent(int number, Level level, String description) {
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
