package org.comfreygap.decisions;

import java.time.Duration;

/**
 * Decides when a sidecar tells the gateways what its engine does, so that its messages do not grow
 * with the gateways.
 *
 * <p>What forbids work (an engine that leaves, is silent, or is cold) is told at once. A change of
 * load or of adapters waits for the spacing, which grows with the number of gateways; the gateway
 * that asked for an adapter has its own answer. Without a change the state is told now and then, so
 * that a gateway can tell a calm sidecar from a lost one.
 *
 * <pre>{@code
 * if (pacing.due(state, gateways.size(), now)) { send(state); pacing.told(state, now); }
 * }</pre>
 *
 * <p>Invariant: two messages without an urgent change between them are at least the spacing apart.
 * Thread safety: not thread-safe.
 *
 * @since 0.3
 */
public final class StatusPacing {

  /** Time between reports of an engine; a gateway knows of free places within a few of them. */
  public static final Duration MIN_SPACING = Duration.ofMillis(100);

  /** At this spacing a sidecar sends 160 messages a second, which take it about 1% of a core. */
  public static final Duration SPACING_PER_GATEWAY = Duration.ofMillis(6);

  /** Bound on the spacing, well below the age at which gateways drop a status, 1 s. */
  public static final Duration MAX_SPACING = Duration.ofMillis(400);

  /** Longest time without a message, below the age at which gateways drop a status, 1 s. */
  public static final Duration MAX_SILENCE = Duration.ofMillis(600);

  /** A change of the running requests counts when it is this part of the places. */
  private static final int RUNNING_STEPS = 16;

  private static final int MIN_RUNNING_STEP = 2;

  private State last = new State("", 0, 0, 0, false);
  private long lastSentNanos;
  private boolean everSent;

  /**
   * What an engine does.
   *
   * @param urgent everything whose change must be known at once, as text to compare
   * @param places requests that run at once
   * @param adaptersChanged true when adapters came or went since the last message
   */
  public record State(String urgent, int running, int waiting, int slots, boolean adaptersChanged) {

    private boolean loadDiffers(State other) {
      int step = Math.max(MIN_RUNNING_STEP, slots / RUNNING_STEPS);
      return running / step != other.running / step
          || magnitude(waiting) != magnitude(other.waiting);
    }

    /** A queue matters by its order of size: none, one, a few, many. */
    private static int magnitude(int waiting) {
      return Integer.SIZE - Integer.numberOfLeadingZeros(waiting);
    }
  }

  /** Returns true when {@code newest} is to be told now. */
  public boolean due(State newest, int gateways, long nowNanos) {
    if (!everSent || !newest.urgent().equals(last.urgent())) {
      return true;
    }
    long silent = nowNanos - lastSentNanos;
    boolean changed = newest.adaptersChanged() || newest.loadDiffers(last);
    return silent >= MAX_SILENCE.toNanos() || (changed && silent >= spacing(gateways).toNanos());
  }

  /** Takes note that {@code state} was told. */
  public void recordSent(State state, long nowNanos) {
    everSent = true;
    last = state;
    lastSentNanos = nowNanos;
  }

  /** Returns the least time between messages about load to {@code gateways}. */
  public static Duration spacing(int gateways) {
    Duration wanted = SPACING_PER_GATEWAY.multipliedBy(gateways);
    if (wanted.compareTo(MIN_SPACING) < 0) {
      return MIN_SPACING;
    }
    return wanted.compareTo(MAX_SPACING) > 0 ? MAX_SPACING : wanted;
  }
}
