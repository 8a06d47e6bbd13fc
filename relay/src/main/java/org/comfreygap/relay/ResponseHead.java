package org.comfreygap.relay;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.comfreygap.decisions.StatedLimit;

/**
 * The metadata in the head of an endpoint's response.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId id of the request that the response belongs to, where stated
 * @param verdict whether the endpoint ran the request
 * @param signed true when the response carries the endpoint's proof of origin
 * @param instanceId id of the responding endpoint, where stated
 * @param load the endpoint's load, where stated
 * @param limit the request limit that the endpoint states
 * @param idleMillis time for which the endpoint keeps an idle connection open, where stated
 * @since 0.2
 */
public record ResponseHead(
    Optional<String> requestId,
    Verdict verdict,
    boolean signed,
    Optional<String> instanceId,
    Optional<ReportedLoad> load,
    StatedLimit limit,
    OptionalLong idleMillis) {

  /** Whether the request ran, according to the response. */
  public enum Verdict {
    /** The request ran, or the response does not say. */
    RAN,
    /** The endpoint was at capacity or past the deadline; it did not run the request. */
    REFUSED,
    /**
     * Another endpoint responded, or this one lacks the model, adapter or version; the request did
     * not run.
     */
    MISDIRECTED
  }

  /**
   * Load of an endpoint: running and waiting requests, and the number that can run at once.
   *
   * @param pacePercent how long work takes there now, in percent of the usual time, where stated
   */
  public record ReportedLoad(int running, int waiting, int slots, OptionalInt pacePercent) {}
}
