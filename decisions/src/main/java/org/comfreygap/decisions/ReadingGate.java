package org.comfreygap.decisions;

import java.util.ArrayDeque;
import java.util.Iterator;

/**
 * Decides when a prompt may be sent to an engine, so that the streams that run there do not pause
 * longer than their callers accept.
 *
 * <p>An engine reads prompts between the steps of its running streams. In any span of one pause
 * limit it is given at most as much to read as it can within that span, beside one event of each
 * stream. Times are in microseconds at the usual pace; the pace in force shortens the span. A
 * prompt that does not fit is given a time a little later, in the order of the requests, or is
 * refused.
 *
 * <pre>{@code
 * ReadingGate.Grant grant = gate.request(prompt, pace, running, now);
 * }</pre>
 *
 * <p>Invariant: the granted times never decrease. Thread safety: not thread-safe.
 *
 * @since 0.8
 */
public final class ReadingGate {

  /** The rest is for steps that have begun, the way of an event and an error of the pace. */
  public static final double SHARE_OF_PAUSE = 0.85;

  private static final long NANOS_PER_MICRO = 1_000;

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private long readingMicros;

  /**
   * A prompt to send.
   *
   * @param readMicros time to read it
   * @param eventMicros time between two events of a stream while nothing is read
   * @param pauseMicros longest accepted pause between two events, by the clock
   * @param maxWaitMicros longest time until the send, by the clock
   * @param mustSend true when it is granted even if it does not fit
   */
  public record Prompt(
      long readMicros, long eventMicros, long pauseMicros, long maxWaitMicros, boolean mustSend) {}

  /**
   * The decision.
   *
   * @param waitMicros time until the send, or without a grant until a send may be granted
   */
  public record Grant(boolean granted, long waitMicros) {}

  private record Entry(long atNanos, long readMicros) {}

  /**
   * Returns the time to read at the usual pace that is within one pause limit.
   *
   * @param pace factor on the usual time
   */
  public static double budgetMicros(double pauseMicros, double eventMicros, double pace) {
    return pauseMicros * SHARE_OF_PAUSE / pace - eventMicros;
  }

  /**
   * Decides on a prompt and counts it when it is granted.
   *
   * @param pace factor on the usual time to expect
   * @param cautiousPace the factor that holds for a prompt that may be sent elsewhere
   * @param running requests that run at the engine
   */
  public Grant request(
      Prompt prompt, double pace, double cautiousPace, int running, long nowNanos) {
    long spanNanos = prompt.pauseMicros() * NANOS_PER_MICRO;
    expire(nowNanos - spanNanos);
    if (entries.isEmpty() && running == 0) {
      return grant(prompt, nowNanos, nowNanos);
    }
    double factor = prompt.mustSend() ? pace : cautiousPace;
    double budget = budgetMicros(prompt.pauseMicros(), prompt.eventMicros(), factor);
    long earliest = earliest(prompt.readMicros(), budget, spanNanos, nowNanos);
    long waitMicros = (earliest - nowNanos) / NANOS_PER_MICRO;
    if (prompt.readMicros() <= budget && waitMicros <= prompt.maxWaitMicros()) {
      return grant(prompt, earliest, nowNanos);
    }
    if (prompt.mustSend()) {
      long bounded = Math.min(waitMicros, prompt.maxWaitMicros()) * NANOS_PER_MICRO;
      return grant(prompt, lastAt(nowNanos, nowNanos + bounded), nowNanos);
    }
    return new Grant(false, Math.max(1, waitMicros));
  }

  /** Returns the time to read what was granted in the last span and what is still to be sent. */
  public long readingMicros(long spanNanos, long nowNanos) {
    expire(nowNanos - spanNanos);
    return readingMicros;
  }

  /** Forgets everything: the engine has started again. */
  public void restarted() {
    entries.clear();
    readingMicros = 0;
  }

  private Grant grant(Prompt prompt, long atNanos, long nowNanos) {
    entries.addLast(new Entry(atNanos, prompt.readMicros()));
    readingMicros += prompt.readMicros();
    return new Grant(true, Math.max(0, (atNanos - nowNanos) / NANOS_PER_MICRO));
  }

  /** Returns the first time at which the prompt fits into the span before it. */
  private long earliest(long readMicros, double budget, long spanNanos, long nowNanos) {
    long at = lastAt(nowNanos, nowNanos);
    long inSpan = readingMicros;
    Iterator<Entry> oldest = entries.iterator();
    while (oldest.hasNext()) {
      Entry entry = oldest.next();
      if (entry.atNanos() + spanNanos - at > 0) {
        if (inSpan + readMicros <= budget) {
          return at;
        }
        at = entry.atNanos() + spanNanos;
      }
      inSpan -= entry.readMicros();
    }
    return at;
  }

  /** Returns the time wanted, or that of the last grant if it is later. */
  private long lastAt(long nowNanos, long wantedNanos) {
    long last = entries.isEmpty() ? nowNanos : entries.getLast().atNanos();
    return Math.max(wantedNanos, last);
  }

  private void expire(long beforeNanos) {
    while (!entries.isEmpty() && entries.getFirst().atNanos() - beforeNanos <= 0) {
      readingMicros -= entries.removeFirst().readMicros();
    }
  }
}
