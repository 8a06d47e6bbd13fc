package org.comfreygap.settings;

import java.util.Locale;
import java.util.Optional;

/**
 * Priority class of a request, most urgent first.
 *
 * <p>Thread safety: immutable.
 *
 * @since 0.1
 */
public enum Priority {
  URGENT,
  NORMAL,
  DEFERRABLE;

  /** Returns the class named {@code text}, ignoring case; empty when there is none. */
  public static Optional<Priority> parse(String text) {
    for (Priority priority : values()) {
      if (priority.name().equalsIgnoreCase(text)) {
        return Optional.of(priority);
      }
    }
    return Optional.empty();
  }

  /** Returns the class as it is written in settings and headers. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns true when this class is more urgent than {@code other}. */
  public boolean before(Priority other) {
    return ordinal() < other.ordinal();
  }
}
