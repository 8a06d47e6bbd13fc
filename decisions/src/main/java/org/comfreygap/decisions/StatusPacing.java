package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides when a sidecar reports the state of its engine to the gateways, so that its messages do
 * not grow with the number of gateways.
 *
 * <p>A change that forbids work (an engine that is leaving, silent or cold) is sent immediately. A
 * change of load or of adapters waits for the spacing, which grows with the number of gateways; a
 * gateway that requested an adapter gets its own response. An unchanged state is sent periodically,
 * so that a gateway can distinguish an idle sidecar from a lost one.
 *
 * <pre>{@code
 * if (pacing.due(state, gateways.size(), now)) { send(state); pacing.recordSent(state, now); }
 * }</pre>
 *
 * <p>Invariant: two messages without an urgent change between them are at least the spacing apart.
 * Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class StatusPacing {

  /** Time between reports of an engine; a gateway learns of free slots within a few of them. */
  public static final Duration MIN_SPACING = Duration.ofMillis(100);

  /** At this spacing a sidecar sends 160 messages a second, which take it about 1% of a core. */
  public static final Duration SPACING_PER_GATEWAY = Duration.ofMillis(6);

  /** Bound on the spacing, well below the age at which gateways drop a status, 1 s. */
  public static final Duration MAX_SPACING = Duration.ofMillis(400);

  /** Longest time without a message, below the age at which gateways drop a status, 1 s. */
  public static final Duration MAX_SILENCE = Duration.ofMillis(600);

  /**
   * Number of steps into which the slots are divided; a change of the running requests is reported
   * when it reaches another step.
   */
  private static final int RUNNING_STEPS = 16;

  private static final int MIN_RUNNING_STEP = 2;

  private State last = new State("", 0, 0, 0, false);
  private long lastSentNanos;
  private boolean everSent;

  /**
   * State of an engine.
   *
   * @param urgent state whose change must be reported immediately, as text to compare
   * @param slots requests that run at once
   * @param adaptersChanged true when adapters were loaded or unloaded since the last message
   */
  public record State(String urgent, int running, int waiting, int slots, boolean adaptersChanged) {

    private boolean loadDiffers(State other) {
      int step = Math.max(MIN_RUNNING_STEP, slots / RUNNING_STEPS);
      return running / step != other.running / step
          || magnitude(waiting) != magnitude(other.waiting);
    }

    /** Returns the order of magnitude of a queue: none, one, a few, many. */
    private static int magnitude(int waiting) {
      return Integer.SIZE - Integer.numberOfLeadingZeros(waiting);
    }
  }

  /** Returns true when {@code newest} is to be sent now. */
  public boolean due(State newest, int gateways, long nowNanos) {
    if (!everSent || !newest.urgent().equals(last.urgent())) {
      return true;
    }
    long sinceLastSent = nowNanos - lastSentNanos;
    boolean changed = newest.adaptersChanged() || newest.loadDiffers(last);
    return sinceLastSent >= MAX_SILENCE.toNanos()
        || (changed && sinceLastSent >= spacing(gateways).toNanos());
  }

  /** Records that {@code state} was sent. */
  public void recordSent(State state, long nowNanos) {
    everSent = true;
    last = state;
    lastSentNanos = nowNanos;
  }

  /** Returns the minimum time between messages about load to {@code gateways}. */
  public static Duration spacing(int gateways) {
    Duration proportional = SPACING_PER_GATEWAY.multipliedBy(gateways);
    if (proportional.compareTo(MIN_SPACING) < 0) {
      return MIN_SPACING;
    }
    return proportional.compareTo(MAX_SPACING) > 0 ? MAX_SPACING : proportional;
  }
}
