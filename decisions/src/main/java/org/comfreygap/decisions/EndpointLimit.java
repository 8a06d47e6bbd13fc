package org.comfreygap.decisions;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * The request limit of one start of an endpoint, from what its responses state.
 *
 * <p>Responses on several connections and at several gateways overtake each other, and some are
 * read late. A response was written between the time at which its request was sent and the time at
 * which it was read, so it is certainly newer than one that had been read before its request was
 * sent. Where the order is not certain, the lower limit applies.
 *
 * <pre>{@code
 * if (limit.apply(statement)) { log(limit.perSecond()); }
 * }</pre>
 *
 * <p>Invariants: a limit ends or rises only by a response that is certainly newer than the last one
 * that stated it; an invalid statement changes nothing. Thread safety: not thread-safe.
 *
 * @since 0.4
 */
public final class EndpointLimit {

  /**
   * Uncertainty of the times that another process reports: the time that its message takes, which
   * is a few milliseconds without losses.
   */
  public static final Duration REPORT_UNCERTAINTY = Duration.ofMillis(100);

  private Optional<Statement> newest = Optional.empty();

  /**
   * A statement in a response.
   *
   * @param sentNanos time at which the request was sent
   * @param readNanos time at which the response was read
   * @param reported true when another process read the response
   */
  public record Statement(StatedLimit limit, long sentNanos, long readNanos, boolean reported) {

    /** Creates the statement of a response that this process has read. */
    public Statement(StatedLimit limit, long sentNanos, long readNanos) {
      this(limit, sentNanos, readNanos, false);
    }

    /** Returns a statement that another process reported, with the ages that it gave. */
    public static Statement reported(
        StatedLimit limit, Duration sentAgo, Duration readAgo, long nowNanos) {
      return new Statement(
          limit,
          nowNanos - sentAgo.toNanos() - REPORT_UNCERTAINTY.toNanos(),
          nowNanos - readAgo.toNanos(),
          true);
    }

    private boolean isAfter(Statement other) {
      return sentNanos - other.readNanos >= 0;
    }
  }

  /**
   * Applies a statement.
   *
   * @return true when it changed the limit
   */
  public boolean apply(Statement statement) {
    StatedLimit.Kind kind = statement.limit().kind();
    if (kind == StatedLimit.Kind.INVALID || kind == StatedLimit.Kind.NONE && newest.isEmpty()) {
      return false;
    }
    if (newest.isEmpty()) {
      newest = Optional.of(statement);
      return true;
    }
    Statement last = newest.get();
    boolean same = last.limit().equals(statement.limit());
    if (same) {
      // Extends the time for which the statement is known to hold. A report does not, since each
      // message adds its own delay to the times that it carries.
      if (!statement.reported() && statement.readNanos() - last.readNanos() > 0) {
        newest = Optional.of(statement);
      }
      return false;
    }
    boolean certain = statement.isAfter(last);
    boolean outdated = last.isAfter(statement);
    if (certain || !outdated && isStricter(statement.limit(), last.limit())) {
      newest = Optional.of(statement);
      return true;
    }
    return false;
  }

  /** Forgets what was stated: the endpoint has started again. */
  public void restarted() {
    newest = Optional.empty();
  }

  /** Returns true while the endpoint states a limit. */
  public boolean isLimited() {
    return newest.isPresent() && newest.get().limit().isLimit();
  }

  /** Returns the requests a second that the endpoint takes; empty without a limit. */
  public OptionalDouble perSecond() {
    return isLimited()
        ? OptionalDouble.of(newest.get().limit().perSecond())
        : OptionalDouble.empty();
  }

  /** Returns the newest statement; empty when there was none since the start. */
  public Optional<Statement> newest() {
    return newest;
  }

  private static boolean isStricter(StatedLimit one, StatedLimit other) {
    return one.isLimit() && (!other.isLimit() || one.perSecond() < other.perSecond());
  }
}
