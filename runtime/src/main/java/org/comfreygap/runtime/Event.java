package org.comfreygap.runtime;

import org.slf4j.event.Level;

/**
 * A kind of event in the log and the timeline. Each program declares its events as an enum.
 *
 * <p>Numbers: 1000 runtime, 2000 control, 2500 consensus, 3000 gateway, 4000 sidecar. They are
 * listed in {@code docs/events.md}, never reused, and unique across all programs.
 *
 * @since 0.1
 */
public interface Event {

  /** Returns the number in the event catalogue. */
  int number();

  /** Returns the level at which the event is logged. */
  Level level();

  /** Returns the one-sentence description given in the event catalogue. */
  String description();

  /** Returns the name of the enum constant. */
  String name();
}
