package org.comfreygap.decisions;

/**
 * Estimates how long a request waits for its first output at an endpoint.
 *
 * <p>An engine reads the prompts of the requests before this one first, and each running request
 * makes each step a little longer. An adapter that is not resident has to be loaded; cached parts
 * of prompts belong to an adapter, so the endpoint that holds the adapter usually holds them too.
 *
 * <pre>{@code
 * double millis = PlacementCost.engine(load, promptMillis);
 * }</pre>
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.2
 */
public final class PlacementCost {

  /** Time to load an adapter at full speed, calls included; from the capacity sheets. */
  public static final double ADAPTER_LOAD_MILLIS = 290;

  /** Average remaining load time when another request already waits for the load. */
  public static final double ADAPTER_LOADING_MILLIS = 150;

  /** Time that each running request adds to the engine steps that read a part of a prompt. */
  public static final double RUNNING_MILLIS = 1.2;

  /**
   * Cost of any endpoint other than the first home of an adapter. A load from the weight store has
   * a price, whereas an engine reloads an adapter that it held before from its own memory, ten
   * times as fast.
   */
  public static final double NOT_HOME_MILLIS = 200;

  /**
   * Cost of each further position in the list of an adapter's homes, so that loads of one adapter
   * concentrate on the first endpoints.
   */
  public static final double HOME_STEP_MILLIS = 25;

  /** Round trip between zones and its price, compared with an equal endpoint in the same zone. */
  public static final double OTHER_ZONE_MILLIS = 4;

  /** Slowdown that comes from a larger batch alone. */
  public static final double USUAL_SLOWDOWN = 1.5;

  /**
   * Cost of each unit of slowdown beyond the usual one: at a slowdown of eight, pauses in a stream
   * approach what callers notice, and the stream takes as long as its caller waits.
   */
  public static final double SLOW_STREAM_MILLIS = 150;

  /** Added when every slot is taken: the request waits for a whole run to end. */
  public static final double FULL_MILLIS = 600;

  /** Replacing a version in use waits for its runs, which take seconds. */
  public static final double OUTDATED_MILLIS = 2_500;

  private PlacementCost() {}

  /**
   * State of an endpoint.
   *
   * @param slots requests that run at once
   * @param running requests that run
   * @param waiting requests that have not started
   * @param slowdown duration of requests here relative to the fastest endpoints, 1 for those
   */
  public record Load(
      int slots,
      int running,
      int waiting,
      double slowdown,
      Residency residency,
      int homePosition,
      boolean sameZone) {}

  /** Whether an endpoint holds the adapter of a request. */
  public enum Residency {
    HELD(0),
    COMING(ADAPTER_LOADING_MILLIS),
    ABSENT(ADAPTER_LOAD_MILLIS),
    /** The endpoint holds an older version than the request needs. */
    OUTDATED(OUTDATED_MILLIS);

    private final double millis;

    Residency(double millis) {
      this.millis = millis;
    }
  }

  /**
   * Returns the estimate for an engine in milliseconds.
   *
   * @param promptMillis time to read an average prompt
   */
  public static double engine(Load load, double promptMillis) {
    double reading = (load.waiting + 1) * promptMillis + load.running * RUNNING_MILLIS;
    double home =
        load.residency == Residency.HELD || load.homePosition == 0
            ? 0
            : NOT_HOME_MILLIS + load.homePosition * HOME_STEP_MILLIS;
    double slow = Math.max(0, load.slowdown - USUAL_SLOWDOWN) * SLOW_STREAM_MILLIS;
    return reading * load.slowdown + slow + full(load) + load.residency.millis + home + zone(load);
  }

  /**
   * Returns the part of the estimate that grows with the requests at this engine.
   *
   * @param promptMillis time to read an average prompt
   */
  public static double engineQueue(Load load, double promptMillis) {
    return (load.waiting * promptMillis + load.running * RUNNING_MILLIS) * load.slowdown;
  }

  /**
   * Returns the estimate for a plain service in milliseconds.
   *
   * @param workMillis time that a request takes
   */
  public static double service(Load load, double workMillis) {
    int busy = load.running + load.waiting;
    double waiting = Math.max(0, busy + 1 - load.slots) / (double) Math.max(1, load.slots);
    // Endpoints get slower when they are nearly full, so free ones are filled evenly.
    double share = busy / (double) Math.max(1, load.slots);
    return (waiting + 1 + 0.5 * share) * workMillis * load.slowdown + zone(load);
  }

  /** Returns the time until an adapter of that residency can serve, in milliseconds. */
  static double loadMillis(Residency residency) {
    return residency.millis;
  }

  private static double full(Load load) {
    return load.running + load.waiting >= load.slots ? FULL_MILLIS : 0;
  }

  private static double zone(Load load) {
    return load.sameZone ? 0 : OTHER_ZONE_MILLIS;
  }
}
