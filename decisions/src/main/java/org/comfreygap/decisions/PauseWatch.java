package org.comfreygap.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells of which pools the streams pause longer between events than their routes allow, so that
 * prompts are then sent to engines only as these can read them.
 *
 * <p>The load it answers: callers who compete for engines that state no pace. While few streams
 * pause too long, prompts are sent at once.
 *
 * <pre>{@code
 * watch.streamBegan("chat", now);
 * watch.streamPaused("chat", now);
 * if (watch.pausesTooLong("chat", now)) { askForPermit(); }
 * }</pre>
 *
 * <p>Invariant: one pool's streams have no influence on another's. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class PauseWatch {

  /** Share of the streams of one span that must have paused too long. */
  public static final double TOO_MANY = 0.1;

  /** Streams without which a share says little. */
  public static final int MIN_STREAMS = 20;

  /** Time over which streams are counted together; up to twice as long until it is over. */
  public static final Duration SPAN = Duration.ofSeconds(5);

  /**
   * Time for which the pauses of a pool count as too long after they last were. With permits they
   * are short, so that only a pause without them shows whether the load has gone.
   */
  public static final Duration HOLD = Duration.ofSeconds(60);

  private final Map<String, Counts> pools = new HashMap<>();

  /** Records that a stream has brought its second event. */
  public void streamBegan(String pool, long nowNanos) {
    counts(pool, nowNanos).streams++;
  }

  /**
   * Records the first pause of a stream that is too long, as soon as it is over.
   *
   * @return true when the pauses of the pool now count as too long and did not before
   */
  public boolean streamPaused(String pool, long nowNanos) {
    boolean before = pausesTooLong(pool, nowNanos);
    Counts counts = counts(pool, nowNanos);
    counts.paused++;
    if (counts.streams() >= MIN_STREAMS && counts.paused() >= TOO_MANY * counts.streams()) {
      counts.tooLong = true;
      counts.tooLongNanos = nowNanos;
    }
    return !before && pausesTooLong(pool, nowNanos);
  }

  /** Returns true while too many streams of a pool pause too long, or did lately. */
  public boolean pausesTooLong(String pool, long nowNanos) {
    Counts counts = pools.get(pool);
    return counts != null && counts.tooLong && nowNanos - counts.tooLongNanos < HOLD.toNanos();
  }

  /** Forgets the pools that are not among {@code present}. */
  public void retain(Set<String> present) {
    pools.keySet().retainAll(present);
  }

  /** Returns the number of pools whose streams pause too long. */
  public long count(long nowNanos) {
    return pools.keySet().stream().filter(pool -> pausesTooLong(pool, nowNanos)).count();
  }

  private Counts counts(String pool, long nowNanos) {
    Counts counts = pools.computeIfAbsent(pool, name -> new Counts(nowNanos));
    counts.advance(nowNanos);
    return counts;
  }

  /** Streams of the present span and the one before it. */
  private static final class Counts {

    private int streams;
    private int paused;
    private int streamsBefore;
    private int pausedBefore;
    private long sinceNanos;
    private boolean tooLong;
    private long tooLongNanos;

    Counts(long nowNanos) {
      this.sinceNanos = nowNanos;
    }

    void advance(long nowNanos) {
      long spans = (nowNanos - sinceNanos) / SPAN.toNanos();
      if (spans > 0) {
        streamsBefore = spans == 1 ? streams : 0;
        pausedBefore = spans == 1 ? paused : 0;
        streams = 0;
        paused = 0;
        sinceNanos += spans * SPAN.toNanos();
      }
    }

    int streams() {
      return streams + streamsBefore;
    }

    int paused() {
      return paused + pausedBefore;
    }
  }
}
