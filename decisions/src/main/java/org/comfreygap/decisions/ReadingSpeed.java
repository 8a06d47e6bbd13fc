package org.comfreygap.decisions;

/**
 * Learns how fast the engines of a pool read prompts and how long an event of a stream takes, at
 * the usual pace.
 *
 * <p>Both are low quantiles of what is seen, since waits only lengthen what is seen. Before
 * anything is seen the defaults hold.
 *
 * <pre>{@code
 * speed.firstOutput(1460, 98.0, 1.0);
 * double micros = speed.readMicros(1460);
 * }</pre>
 *
 * <p>Invariant: results lie within {@link #MAX_CHANGE} times and a part of the defaults. Thread
 * safety: not thread-safe.
 *
 * @since 0.8
 */
public final class ReadingSpeed {

  /** Time to read one token until it is learned, of the order of large engines. */
  public static final double DEFAULT_TOKEN_MICROS = 50;

  /** Time of one event until it is learned. */
  public static final double DEFAULT_EVENT_MICROS = 30_000;

  /** Bound on the factor between what is learned and the defaults. */
  public static final double MAX_CHANGE = 20;

  /** Share of what is seen that is below what is learned. */
  static final double QUANTILE = 0.3;

  /** Relative step of what is learned; some hundred values move it by a factor of ten. */
  static final double STEP = 0.02;

  /** Shorter prompts tell more about the way of a request than about reading. */
  static final long MIN_TOKENS = 200;

  private static final double MICROS_PER_MILLI = 1_000;

  private double tokenMicros = DEFAULT_TOKEN_MICROS;
  private double eventMicros = DEFAULT_EVENT_MICROS;

  /**
   * Records the time from the send of a prompt to the first part of its response.
   *
   * @param pace factor on the usual time that was in force
   */
  public void firstOutput(long tokens, double millis, double pace) {
    if (tokens >= MIN_TOKENS) {
      double reading = Math.max(0, millis * MICROS_PER_MILLI / pace - eventMicros);
      tokenMicros = learn(tokenMicros, reading / tokens, DEFAULT_TOKEN_MICROS);
    }
  }

  /** Records the time between two parts of a stream. */
  public void event(double millis, double pace) {
    eventMicros = learn(eventMicros, millis * MICROS_PER_MILLI / pace, DEFAULT_EVENT_MICROS);
  }

  /** Returns the time to read a prompt at the usual pace. */
  public double readMicros(long tokens) {
    return tokens * tokenMicros;
  }

  /** Returns the time of an event at the usual pace. */
  public double eventMicros() {
    return eventMicros;
  }

  private static double learn(double known, double seen, double usual) {
    double moved =
        seen < known ? known * (1 - STEP * (1 - QUANTILE)) : known * (1 + STEP * QUANTILE);
    return Math.max(usual / MAX_CHANGE, Math.min(usual * MAX_CHANGE, moved));
  }
}
