package org.comfreygap.consensus;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of the replicated log, numbers 2500 to 2599.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum ConsensusEvent implements Event {
  REPLICA_OPENED(2500, Level.INFO, "The replica has read its log and is running."),
  REPLICA_CLOSED(2501, Level.INFO, "The replica has closed its log."),
  ROLE_CHANGED(2502, Level.INFO, "The role, the term or the known leader changed."),
  CLUSTER_BOOTSTRAPPED(2503, Level.INFO, "The first replica has created the log."),
  BOOTSTRAP_REFUSED(
      2504,
      Level.ERROR,
      "The data folder is empty but the log exists elsewhere; the replica needs a new id."),
  REPLICA_WITHOUT_DISK(
      2505,
      Level.ERROR,
      "A voter reports an empty log; remove it and add it again under a new id."),
  MEMBERSHIP_CHANGED(2506, Level.INFO, "A membership entry was appended."),
  TORN_TAIL_CUT(2510, Level.WARN, "An incomplete write at the end of the log was cut off."),
  LOG_CORRUPT(2511, Level.ERROR, "A synced part of the log is damaged; the replica stops."),
  SYNC_FAILED(2512, Level.ERROR, "A disk sync failed; the process stops."),
  WRITE_REFUSED(2513, Level.ERROR, "The disk refused a write, for example because it is full."),
  WRITE_ACCEPTED(2514, Level.INFO, "The disk accepts writes again."),
  COMPACTION_FAILED(2515, Level.ERROR, "A segment of the log could not be deleted; retried."),
  SNAPSHOT_WRITTEN(2520, Level.INFO, "A snapshot was written and synced."),
  SNAPSHOT_FAILED(2521, Level.ERROR, "A snapshot could not be written; the log keeps growing."),
  SNAPSHOT_SENT(2522, Level.INFO, "A snapshot was sent to a replica that lagged behind the log."),
  SNAPSHOT_INSTALLED(2523, Level.INFO, "A snapshot received from the leader was installed."),
  REPLICA_FAILED(2530, Level.ERROR, "A worker thread of the replica failed; the process stops.");

  private final int number;
  private final Level level;
  private final String description;

  ConsensusEvent(int number, Level level, String description) {
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
