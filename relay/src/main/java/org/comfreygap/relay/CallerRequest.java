package org.comfreygap.relay;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The metadata in the head of a caller's request.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of this attempt of the caller, unique for each
 * @param key the caller's key
 * @param model base model that the request needs
 * @param adapter name of an adapter of that model
 * @param tokens prompt tokens plus maximum output tokens, where stated
 * @param promptTokens tokens of the prompt, where stated
 * @param sharedParts ids of the parts of the prompt that other requests may have too, each once and
 *     in order
 * @param takeUp the stream that the caller takes up again; empty for a new request
 * @param timeoutMillis time for which the caller waits for the response, where stated
 * @since 0.2
 */
public record CallerRequest(
    String id,
    Optional<String> key,
    Optional<String> model,
    Optional<String> adapter,
    OptionalLong tokens,
    OptionalLong promptTokens,
    List<String> sharedParts,
    Optional<TakeUp> takeUp,
    OptionalLong timeoutMillis) {

  /**
   * A stream that broke off and that the caller takes up again after its last event.
   *
   * @param begunBy id of the caller's attempt that brought the first event, where stated
   */
  public record TakeUp(String lastEventId, Optional<String> begunBy) {}
}
