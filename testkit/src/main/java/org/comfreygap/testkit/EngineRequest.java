package org.comfreygap.testkit;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * A parsed completion request.
 *
 * @param attempt value of X-Request-Id
 * @param model adapter name
 * @param nonce the caller's nonce; empty without one
 * @param namespace value of {@code cache_salt}, which separates cached prefixes
 * @param priority value of {@code priority}; lower runs earlier
 * @param promptTokens number of prompt characters divided by 4, rounded up
 * @param maxTokens tokens to generate
 * @param stream whether server-sent events are requested
 * @param chat whether the request path is the chat path
 * @param prompt text of the prompt
 * @param body the body as text
 */
record EngineRequest(
    String attempt,
    String model,
    String nonce,
    String namespace,
    int priority,
    int promptTokens,
    int maxTokens,
    boolean stream,
    boolean chat,
    String prompt,
    String body) {

  private static final int DEFAULT_MAX_TOKENS = 16;
  private static final int CHARACTERS_PER_TOKEN = 4;

  static EngineRequest parse(String attempt, String path, byte[] body) throws IOException {
    JsonNode json = FakeEndpoint.parseJson(body);
    String text = new String(body, StandardCharsets.UTF_8);
    JsonNode prompt = json.has("messages") ? json.path("messages") : json.path("prompt");
    String promptText = prompt.isTextual() ? prompt.asText() : prompt.toString();
    return new EngineRequest(
        attempt,
        json.path("model").asText(),
        FakeEndpoint.extractNonce(text),
        json.path("cache_salt").asText(""),
        json.path("priority").asInt(0),
        (promptText.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN,
        Math.max(1, json.path("max_tokens").asInt(DEFAULT_MAX_TOKENS)),
        json.path("stream").asBoolean(false),
        path.endsWith("/chat/completions"),
        promptText,
        text);
  }
}
