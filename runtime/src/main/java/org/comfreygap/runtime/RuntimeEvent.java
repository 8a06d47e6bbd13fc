package org.comfreygap.runtime;

import org.slf4j.event.Level;

/**
 * Events that every program records.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum RuntimeEvent implements Event {
  PROCESS_STARTED(1001, Level.INFO, "The process has started and accepts requests."),
  PROCESS_STOPPING(1002, Level.INFO, "A planned stop has begun; no new work is accepted."),
  PROCESS_STOPPED(1003, Level.INFO, "The planned stop is complete."),
  RESOURCES_CLOSED(1004, Level.INFO, "The resources of a stopped process are closed; it ends now."),
  SETTINGS_IN_FORCE(1010, Level.INFO, "A settings revision is in force in this process."),
  SETTINGS_LEASE_LOST(1011, Level.WARN, "The settings lease expired; new work is refused."),
  SETTINGS_LEASE_REGAINED(1012, Level.INFO, "The settings lease is valid again."),
  SETTINGS_REVISION_REJECTED(1013, Level.WARN, "A watch response had a lower revision."),
  CONTROL_LEADER_CHANGED(1014, Level.INFO, "The process follows another control leader."),
  CONTROL_UNREACHABLE(1015, Level.WARN, "A call to control failed or timed out."),
  SETTINGS_FILE_RELOADED(1020, Level.INFO, "A changed settings file is in force."),
  SETTINGS_FILE_UNCHANGED(1021, Level.INFO, "A reload was requested; the file is unchanged."),
  SETTINGS_FILE_REJECTED(1022, Level.WARN, "A changed settings file is unreadable or invalid.");

  private final int number;
  private final Level level;
  private final String description;

  RuntimeEvent(int number, Level level, String description) {
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
