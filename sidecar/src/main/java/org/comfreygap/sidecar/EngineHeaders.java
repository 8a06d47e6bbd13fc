package org.comfreygap.sidecar;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Allow-lists for headers passed between a gateway and the endpoint. All other headers are dropped,
 * so that no key or cookie sent by a gateway reaches an endpoint.
 *
 * <p>Thread safety: stateless.
 */
final class EngineHeaders {

  private static final Set<String> TO_ENGINE = Set.of("content-type", "accept");
  private static final Set<String> TO_SERVICE = Set.of("content-type", "accept", "idempotency-key");
  private static final Set<String> TO_GATEWAY =
      Set.of(
          "content-type",
          "content-language",
          "content-disposition",
          "cache-control",
          "etag",
          "last-modified",
          "location",
          "retry-after");
  private static final int MAX_VALUE_LENGTH = 4_096;

  private EngineHeaders() {}

  /** Returns the headers to send to the endpoint, with the attempt id as request id. */
  static Map<String, String> toEndpoint(
      Map<String, String> given, boolean service, String attemptId) {
    Map<String, String> headers = filter(given, service ? TO_SERVICE : TO_ENGINE);
    headers.put("x-request-id", attemptId);
    return headers;
  }

  /** Returns the response headers that are passed on to the gateway. */
  static Map<String, String> toGateway(Map<String, String> given) {
    return filter(given, TO_GATEWAY);
  }

  private static Map<String, String> filter(Map<String, String> given, Set<String> allowed) {
    Map<String, String> picked = new LinkedHashMap<>();
    if (given != null) {
      given.forEach(
          (name, value) -> {
            String lower = name.toLowerCase(Locale.ROOT);
            if (allowed.contains(lower) && validValue(value)) {
              picked.put(lower, value);
            }
          });
    }
    return picked;
  }

  private static boolean validValue(String value) {
    return value != null
        && value.length() <= MAX_VALUE_LENGTH
        && value.chars().noneMatch(c -> c < ' ' && c != '\t');
  }
}
