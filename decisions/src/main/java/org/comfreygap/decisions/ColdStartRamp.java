package org.comfreygap.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The single gate for all work sent to an endpoint, probes and retries included.
 *
 * <p>The concurrency bound rises linearly from the initial to the full concurrency over the ramp
 * time, counted from the start of the endpoint. Only an uptime reported by the endpoint proves how
 * long ago it started. The proof is invalid after a lost connection and after {@link
 * #PROOF_LIFETIME} without a reply from the same boot; until a newer reply arrives the bound is the
 * initial concurrency.
 *
 * <pre>{@code
 * ramp.observed(bootId, uptimeMillis, sentAtNanos, receivedAtNanos);
 * if (ramp.tryStart(nowNanos)) { send(); }
 * }</pre>
 *
 * <p>Invariant: {@link #running} never rises above the bound in force at that moment. Thread
 * safety: none; the caller holds the lock.
 *
 * @since 0.1
 */
public final class ColdStartRamp {

  /**
   * Longest time without a reply for which the endpoint is assumed to be the same boot. A probe
   * over loopback takes about 1 ms, so that a short time costs little and a restarted endpoint gets
   * full load for at most this time.
   */
  public static final Duration PROOF_LIFETIME = Duration.ofMillis(50);

  // A probe delayed for this long shares the unit of running work; otherwise an endpoint that
  // stopped replying would never be detected.
  private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(1);
  private static final int REMEMBERED_BOOTS = 16;

  private final Deque<String> endedBoots = new ArrayDeque<>();
  private int fullConcurrency;
  private int initialConcurrency;
  private long rampNanos;
  private int running;
  private boolean probing;
  private int foreign;
  private String bootId = "";
  private boolean proven;
  private long provenAtNanos;
  private long uptimeNanos;
  private boolean restartSuspected;
  private long restartSuspectedAtNanos;
  private long lastReplyAtNanos;

  /**
   * Creates a gate in front of an endpoint whose uptime is unknown.
   *
   * @param fullConcurrency concurrent requests when warm
   * @param initialConcurrency concurrent requests directly after a start
   * @param ramp time from the start until the full concurrency is allowed
   */
  public ColdStartRamp(int fullConcurrency, int initialConcurrency, Duration ramp) {
    configure(fullConcurrency, initialConcurrency, ramp);
  }

  /** Replaces the bounds; work that runs is not affected. */
  public void configure(int newFull, int newInitial, Duration ramp) {
    this.fullConcurrency = newFull;
    this.initialConcurrency = Math.max(1, Math.min(newInitial, newFull));
    this.rampNanos = ramp.toNanos();
  }

  /** Returns the boot id of the endpoint, empty while it is unknown. */
  public String bootId() {
    return bootId;
  }

  /**
   * Records a reply that names the boot only. Returns true when it shows that a known boot ended.
   *
   * @param sentAtNanos time at which the request was sent; the proof counts from then
   */
  public boolean replied(String replyBootId, long sentAtNanos) {
    if (replyBootId.isEmpty() || endedBoots.contains(replyBootId)) {
      return false;
    }
    boolean changed = !bootId.isEmpty() && !bootId.equals(replyBootId);
    if (!bootId.equals(replyBootId)) {
      endBoot();
      bootId = replyBootId;
    }
    if (sentAtNanos - lastReplyAtNanos > 0 || !proven) {
      lastReplyAtNanos = sentAtNanos;
    }
    if (restartSuspected && sentAtNanos - restartSuspectedAtNanos > 0 && proven) {
      restartSuspected = false;
    }
    return changed;
  }

  /** Records a reply that carries the uptime. Returns true when a known boot ended. */
  public boolean observed(
      String replyBootId, long uptimeMillis, long sentAtNanos, long receivedAtNanos) {
    if (endedBoots.contains(replyBootId)) {
      return false;
    }
    final boolean changed = replied(replyBootId, sentAtNanos);
    proven = true;
    provenAtNanos = receivedAtNanos;
    uptimeNanos = Duration.ofMillis(uptimeMillis).toNanos();
    if (sentAtNanos - lastReplyAtNanos > 0) {
      lastReplyAtNanos = sentAtNanos;
    }
    if (restartSuspected && sentAtNanos - restartSuspectedAtNanos > 0) {
      restartSuspected = false;
    }
    return changed;
  }

  /** Records that a connection was lost: the endpoint may have restarted. */
  public void suspectRestart(long nowNanos) {
    restartSuspected = true;
    restartSuspectedAtNanos = nowNanos;
  }

  /** Records that the known boot has ended; nothing is known about the next one. */
  public void endBoot() {
    if (!bootId.isEmpty()) {
      endedBoots.addLast(bootId);
      if (endedBoots.size() > REMEMBERED_BOOTS) {
        endedBoots.removeFirst();
      }
    }
    bootId = "";
    proven = false;
    restartSuspected = false;
  }

  /** Returns true when {@code other} is a boot that has ended. */
  public boolean ended(String other) {
    return endedBoots.contains(other);
  }

  /** Sets how many requests of another sidecar the endpoint still runs. */
  public void foreign(int count) {
    this.foreign = count;
  }

  /** Returns the concurrency bound in force at {@code nowNanos}. */
  public int limit(long nowNanos) {
    if (!proven || restartSuspected || nowNanos - lastReplyAtNanos > PROOF_LIFETIME.toNanos()) {
      return initialConcurrency;
    }
    return warmLimit(nowNanos);
  }

  /**
   * Returns the bound that a fresh proof would allow at {@code nowNanos}; for reports, which must
   * not vary with the age of the last reply.
   */
  public int expectedLimit(long nowNanos) {
    return proven && !restartSuspected ? warmLimit(nowNanos) : initialConcurrency;
  }

  /** Returns true when a reply to a probe could raise the bound. */
  public boolean proofNeeded(long nowNanos) {
    return limit(nowNanos) < fullConcurrency
        && (!proven || restartSuspected || nowNanos - lastReplyAtNanos > PROOF_LIFETIME.toNanos());
  }

  /** Returns how many more requests may start at {@code nowNanos}. */
  public int free(long nowNanos) {
    int limit = limit(nowNanos);
    // A cold endpoint keeps one unit for the probe, unless it has only one.
    int reserved = probing || (limit < fullConcurrency && limit > 1) ? 1 : 0;
    return Math.max(0, limit - reserved - running - foreign);
  }

  /** Takes a unit for a request; false when none is free. */
  public boolean tryStart(long nowNanos) {
    if (free(nowNanos) == 0) {
      return false;
    }
    running++;
    return true;
  }

  /** Returns the unit of a request that no longer runs at the endpoint. */
  public void finished() {
    running--;
  }

  /**
   * Takes the unit for a probe; at most one runs at a time. The bound applied is that of an
   * unchanged boot: after a restart the work in flight ended with the earlier boot, and the probe
   * is the only load of the new one.
   *
   * @param required true when work is blocked until a reply arrives; the probe then shares the unit
   *     of that work
   */
  public boolean tryProbe(long nowNanos, boolean required) {
    boolean starved = nowNanos - lastReplyAtNanos > MAX_PROBE_DELAY.toNanos();
    boolean room = running == 0 || running + foreign < expectedLimit(nowNanos);
    if (probing || !(required || starved || room)) {
      return false;
    }
    probing = true;
    return true;
  }

  /** Returns the unit of the probe. */
  public void probeFinished() {
    probing = false;
  }

  /** Returns how many requests run. */
  public int running() {
    return running;
  }

  private int warmLimit(long nowNanos) {
    long age = uptimeNanos + (nowNanos - provenAtNanos);
    if (age >= rampNanos) {
      return fullConcurrency;
    }
    double share = Math.max(0, (double) age / rampNanos);
    return initialConcurrency + (int) ((fullConcurrency - initialConcurrency) * share);
  }
}
