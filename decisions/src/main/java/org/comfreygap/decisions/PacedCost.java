package org.comfreygap.decisions;

import org.comfreygap.decisions.PlacementCost.Residency;

/**
 * Estimates the cost of a request at an engine that states its pace, in milliseconds: the time to
 * its first output, and the pauses that it causes and will suffer there.
 *
 * <p>A pool takes this estimate instead of {@link PlacementCost#engine} when an endpoint of it has
 * stated a pace, and for no other reason.
 *
 * <pre>{@code
 * double millis = PacedCost.engine(state, prompt, preferences);
 * }</pre>
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.8
 */
public final class PacedCost {

  /** Pause limit of a route that states none: about where a reader notices a pause. */
  public static final double DEFAULT_PAUSE_MILLIS = 500;

  /** Share of the pause limit that is the cost of a whole stream at the usual pace. */
  static final double EXPOSURE_SHARE_OF_PAUSE = 1.0 / 3;

  /** Prompts granted in the last span are half read on average. */
  static final double UNREAD_SHARE = 0.5;

  /**
   * Share of the pause limit that each running stream adds: of the prompts read, about one in fifty
   * meets the begin of a spell and pauses all of them.
   */
  static final double RUNNING_SHARE_OF_PAUSE = 0.02;

  private static final double MICROS_PER_MILLI = 1_000;

  private PacedCost() {}

  /**
   * State of an engine.
   *
   * @param pace factor on the usual time to expect while the prompt is read
   * @param cautiousPace the factor by which prompts are granted
   * @param streamPace the same over the time of a stream
   * @param readingMicros time to read the prompts granted in the last pause, at the usual pace
   * @param homePosition number of engines that precede it as the home of the adapter
   */
  public record State(
      int slots,
      int running,
      double pace,
      double cautiousPace,
      double streamPace,
      double readingMicros,
      Residency residency,
      int homePosition,
      boolean sameZone) {}

  /**
   * A prompt, with times at the usual pace.
   *
   * @param pauseMicros longest pause between events that its callers accept
   */
  public record Prompt(double readMicros, double eventMicros, double pauseMicros) {}

  /**
   * What a deployment prefers, in milliseconds that a request may take longer for it.
   *
   * @param notHomeMillis cost of another endpoint than the first home of an adapter
   * @param otherZoneMillis cost of an endpoint in another zone
   */
  public record Preferences(double notHomeMillis, double otherZoneMillis) {

    /** The preferences of a deployment that states none. */
    public static final Preferences DEFAULT =
        new Preferences(PlacementCost.NOT_HOME_MILLIS, PlacementCost.OTHER_ZONE_MILLIS);
  }

  /** Returns the cost in milliseconds. */
  public static double engine(State state, Prompt prompt, Preferences preferences) {
    double first =
        (state.readingMicros() * UNREAD_SHARE + prompt.readMicros() + prompt.eventMicros())
            * state.pace();
    double exposure = prompt.pauseMicros() * EXPOSURE_SHARE_OF_PAUSE * state.streamPace();
    boolean moves = state.residency() != Residency.HELD && state.homePosition() > 0;
    double home =
        moves
            ? preferences.notHomeMillis() + state.homePosition() * PlacementCost.HOME_STEP_MILLIS
            : 0;
    double others = state.running() * prompt.pauseMicros() * RUNNING_SHARE_OF_PAUSE;
    return (first + exposure + others + pause(state, prompt)) / MICROS_PER_MILLI
        + (state.running() >= state.slots() ? PlacementCost.FULL_MILLIS : 0)
        + PlacementCost.loadMillis(state.residency())
        + home
        + (state.sameZone() ? 0 : preferences.otherZoneMillis());
  }

  /** Returns the time until the prompt fits, and the pauses of all streams when it never does. */
  private static double pause(State state, Prompt prompt) {
    double budget =
        ReadingGate.budgetMicros(prompt.pauseMicros(), prompt.eventMicros(), state.cautiousPace());
    double alone = Math.max(0, prompt.readMicros() - budget) * state.pace() * (1 + state.running());
    double beside =
        Math.max(0, state.readingMicros() + Math.min(prompt.readMicros(), budget) - budget);
    double wait =
        state.readingMicros() > 0
            ? prompt.pauseMicros() * Math.min(1, beside / state.readingMicros())
            : 0;
    return alone + wait;
  }
}
