package org.comfreygap.control;

import org.comfreygap.runtime.Event;
import org.slf4j.event.Level;

/**
 * Events of a control instance.
 *
 * <p>Thread safety: immutable.
 */
public enum ControlEvent implements Event {
  LEADERSHIP_BEGAN(
      2001, Level.INFO, "This instance became leader and has built the leader's state."),
  LEADERSHIP_HANDED_OVER(2002, Level.INFO, "Leadership was transferred before a planned stop."),
  HAND_OVER_FAILED(2003, Level.WARN, "No other instance took over before the planned stop."),
  SETTINGS_CHANGED(2010, Level.INFO, "A change of the settings was committed."),
  SETTINGS_REFUSED(2011, Level.INFO, "A change of the settings was refused."),
  OPERATOR_REJECTED(2012, Level.WARN, "A call to the administration API was not authorized."),
  MEMBER_CHANGED(2013, Level.INFO, "A control instance was added or removed."),
  REPLICA_ADMITTED(2014, Level.INFO, "A new replica was admitted and learns what it lacks."),
  REPLICA_CAUGHT_UP(2015, Level.INFO, "An admitted replica has everything and votes."),
  REPLICA_REMOVED(2016, Level.INFO, "A replica that is lost or leaving was removed."),
  REPLICA_CHANGE_FAILED(2017, Level.WARN, "A replica could not be admitted or removed."),
  PROCESS_STATE_CHANGED(2020, Level.INFO, "A process joined or changed state."),
  PLATFORM_LIST_FAILED(2021, Level.WARN, "The platform's list of instances could not be read."),
  ENDPOINT_GRANTED(2030, Level.INFO, "An endpoint has a new holder with a new fencing number."),
  REQUEST_QUARANTINED(2040, Level.WARN, "A request fingerprint is quarantined."),
  CRASH_REPORTED(2041, Level.WARN, "An endpoint crashed with requests in flight."),
  PART_BANNED(2042, Level.WARN, "A part of prompts that crashes endpoints is banned."),
  PART_BAN_ENDED(2043, Level.WARN, "A part of prompts is no longer banned."),
  LEDGER_OWNER_GONE(2050, Level.WARN, "Open ledger entries of a gone gateway became unknown."),
  PERMIT_QUEUE_FULL(2060, Level.WARN, "A load request was refused because the queue is full."),
  DUTIES_TAKEN(2070, Level.INFO, "This instance holds the duties under a new fencing number."),
  DUTY_CALL_ACCEPTED(2071, Level.INFO, "The platform accepted a call of a duty."),
  DUTY_CALL_REFUSED(2072, Level.WARN, "The platform will never accept a call of a duty."),
  DUTY_CALL_FAILED(2073, Level.INFO, "A call of a duty failed and is sent again."),
  USAGE_INCOMPLETE(2074, Level.WARN, "A window of usage was closed without all counts."),
  USAGE_DROPPED(2075, Level.WARN, "A window of usage was given up: too many are not accepted."),
  USAGE_SKIPPED(2076, Level.WARN, "Windows of usage are not reported: they are long over."),
  ENDPOINTS_ORDERED(2080, Level.INFO, "Another number of endpoints of a pool is ordered."),
  ENDPOINTS_KEPT(2081, Level.INFO, "Why no other number of endpoints is ordered has changed.");

  private final int number;
  private final Level level;
  private final String description;

  ControlEvent(int number, Level level, String description) {
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
