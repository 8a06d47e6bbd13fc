package org.comfreygap.decisions;

import java.util.Locale;

/**
 * How the end of a response is told.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.5
 */
public final class ResponseEnd {

  private ResponseEnd() {}

  /** What marks the end of a response's body. */
  public enum Framing {
    /** The stated number of bytes. */
    LENGTH,
    /** The last chunk. */
    CHUNKS,
    /** Nothing but the end of the connection. */
    CONNECTION;

    /** Returns the name for logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
