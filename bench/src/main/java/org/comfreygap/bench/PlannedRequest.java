package org.comfreygap.bench;

/**
 * One request of the load plan.
 *
 * @param nonce unique value that endpoints echo
 * @param atMicros when it is sent, in microseconds from the start of the load
 * @param customer index of the customer
 * @param model adapter as {@code adapter@version}; empty for a plain-service call
 * @param tokens response length in tokens; 0 for a plain-service call
 * @param priority urgent, normal or deferrable
 * @param stream whether the response is streamed
 * @param idempotencyKey key sent with the request; empty without one
 * @param temporaryKey whether it uses the key that is withdrawn during the run
 * @param flood whether it belongs to the flood of one customer
 * @since 0.1
 */
public record PlannedRequest(
    String nonce,
    long atMicros,
    int customer,
    String model,
    int tokens,
    String priority,
    boolean stream,
    String idempotencyKey,
    boolean temporaryKey,
    boolean flood) {

  /** Returns true for a plain-service call. */
  public boolean serviceCall() {
    return model.isEmpty();
  }

  /** Returns the tokens that are reserved from the customer's limit before the request runs. */
  public long neededTokens() {
    return serviceCall() ? 0 : Workload.PROMPT_TOKENS + (long) tokens;
  }
}
