package org.comfreygap.decisions;

import java.util.Locale;
import java.util.Optional;

/**
 * Decides to which request a response on a kept connection belongs.
 *
 * <p>A faulty endpoint may write an earlier response once more, where the next one is expected. The
 * id that a response states tells them apart; a response without one can only be trusted as far as
 * it could not belong to an earlier request.
 *
 * <pre>{@code
 * ResponseMatch match = ResponseMatch.of(Optional.empty(), "request-2", true, history);
 * }</pre>
 *
 * <p>Invariant: a refusal that matches was not written for an earlier request of the connection, as
 * long as no request is sent over a connection that brought its own refusal before. Thread safety:
 * immutable.
 *
 * @since 0.5
 */
public enum ResponseMatch {
  /** It is the response to the request in progress. */
  EXPECTED,
  /** It belongs to another request; the expected response may follow. */
  STRAY,
  /** It may belong to an earlier request, and states that one did not run. */
  UNPROVED,
  /** Its head may hold the beginning of another response, so that nothing in it is reliable. */
  MERGED,
  /** Its body holds bytes of another response, so that it is not whole. */
  INTERLEAVED;

  /**
   * What the connection has carried before.
   *
   * @param responses number of responses
   * @param statedIds true when one of them stated the id of its request
   */
  public record History(int responses, boolean statedIds) {}

  /**
   * Returns whether a response is that to the request {@code expectedId}.
   *
   * @param statedId id of the request that the response states
   * @param refusal true when it states that its request did not run
   */
  public static ResponseMatch of(
      Optional<String> statedId, String expectedId, boolean refusal, History history) {
    if (statedId.isPresent()) {
      return statedId.get().equals(expectedId) ? EXPECTED : STRAY;
    }
    if (history.statedIds) {
      return STRAY;
    }
    return refusal && history.responses > 0 ? UNPROVED : EXPECTED;
  }

  /** Returns the name for logs and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
