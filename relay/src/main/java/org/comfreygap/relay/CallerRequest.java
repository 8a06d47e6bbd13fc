package org.comfreygap.relay;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller states about its request in the head.
 *
 * <p>Thread safety: immutable.
 *
 * @param id id of this try of the caller, unique for each
 * @param key the caller's key
 * @param model base model that the request needs
 * @param adapter name of an adapter of that model
 * @param tokens prompt and most output tokens together, where stated
 * @param promptTokens tokens of the prompt, where stated
 * @param patienceMillis time for which the caller waits, where stated
 * @since 0.2
 */
public record CallerRequest(
    String id,
    Optional<String> key,
    Optional<String> model,
    Optional<String> adapter,
    OptionalLong tokens,
    OptionalLong promptTokens,
    OptionalLong timeoutMillis) {}
