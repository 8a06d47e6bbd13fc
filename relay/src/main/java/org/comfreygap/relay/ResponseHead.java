package org.comfreygap.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What an endpoint states in the head of an answer.
 *
 * <p>Thread safety: immutable.
 *
 * @param requestId id of the request that is answered, where stated
 * @param verdict whether the endpoint says that it did not run the request
 * @param signed true when the answer carries the endpoint's proof
 * @param instanceId the endpoint that answers, where stated
 * @param load the endpoint's load, where stated
 * @param idleMillis time for which the endpoint keeps an idle connection, where stated
 * @since 0.2
 */
public record ResponseHead(
    Optional<String> requestId,
    Verdict verdict,
    boolean signed,
    Optional<String> instanceId,
    Optional<ReportedLoad> load,
    OptionalLong idleMillis) {

  /** What an answer says about the run. */
  public enum Verdict {
    /** The answer is that of a run, or says nothing about it. */
    RAN,
    /** The endpoint has no room or was too late; it did not run the request. */
    REFUSED,
    /**
     * Another endpoint answers, or this one lacks the model, adapter or version; it did not run.
     */
    MISDIRECTED
  }

  /** Load of an endpoint: running and waiting requests, and how many can run at once. */
  public record ReportedLoad(int running, int waiting, int slots) {}
}
