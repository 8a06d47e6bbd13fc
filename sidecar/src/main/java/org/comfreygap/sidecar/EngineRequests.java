package org.comfreygap.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Map;
import java.util.Set;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.sidecar.EngineClient.EngineRequest;

/**
 * Builds the request for the endpoint from an attempt: {@code model} is the immutable adapter name,
 * {@code cache_salt} isolates the prefix caches of customers, and {@code priority} is lower for
 * more urgent work.
 *
 * <p>Thread safety: stateless.
 */
final class EngineRequests {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final int SALT_BYTES = 16;

  private EngineRequests() {}

  /** Returns the immutable adapter name of {@code request}; empty for a plain service. */
  static String adapter(AttemptRequest request) {
    return request.getRoute() == Route.SERVICE
        ? ""
        : request.getAdapter() + "@" + request.getVersion();
  }

  /**
   * Returns the request for the endpoint.
   *
   * @throws InvalidAttempt when the attempt cannot be sent to an endpoint
   */
  static EngineRequest of(AttemptRequest request) throws InvalidAttempt {
    boolean service = request.getRoute() == Route.SERVICE;
    Map<String, String> headers =
        EngineHeaders.toEndpoint(request.getHeaders(), service, request.getAttemptId());
    Duration timeout = Duration.ofMillis(Math.max(1, request.getDeadlineMillis()));
    if (service) {
      byte[] body = request.isSetBody() ? request.getBody() : new byte[0];
      return new EngineRequest(
          request.getAttemptId(), method(request), path(request), headers, body, false, timeout);
    }
    headers.put("content-type", "application/json");
    String path =
        request.getRoute() == Route.COMPLETIONS ? "/v1/completions" : "/v1/chat/completions";
    return new EngineRequest(
        request.getAttemptId(), "POST", path, headers, body(request), true, timeout);
  }

  /** Returns the salt that isolates the cached prefixes of {@code customer} in an engine. */
  static String cacheSalt(String customer) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(customer.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash, 0, SALT_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }

  private static byte[] body(AttemptRequest request) throws InvalidAttempt {
    if (!request.isSetAdapter() || !request.isSetVersion() || !request.isSetBody()) {
      throw new InvalidAttempt(
          "the attempt lacks an adapter, a version or a body; all three are required");
    }
    try {
      JsonNode body = MAPPER.readTree(request.getBody());
      if (!(body instanceof ObjectNode object)) {
        throw new InvalidAttempt("the body is JSON but not an object; expected a JSON object");
      }
      object.put("model", adapter(request));
      object.put("cache_salt", cacheSalt(request.getCustomer()));
      object.put("priority", request.getPriority().getValue());
      return MAPPER.writeValueAsBytes(object);
    } catch (IOException e) {
      throw new InvalidAttempt("the body is malformed; expected a JSON object");
    }
  }

  private static String method(AttemptRequest request) throws InvalidAttempt {
    String method = request.getMethod();
    if (method == null || !METHODS.contains(method)) {
      throw new InvalidAttempt("unknown method; expected one of " + METHODS);
    }
    return method;
  }

  private static String path(AttemptRequest request) throws InvalidAttempt {
    String path = request.getPath();
    // The message omits the path, because its query may hold confidential data that must not be
    // logged.
    if (path == null || !path.startsWith("/") || path.startsWith("//") || path.contains("/../")) {
      throw new InvalidAttempt(
          "invalid path; expected one that starts with a single / and has no /../");
    }
    try {
      URI uri = URI.create(path);
      if (uri.isAbsolute() || uri.getRawFragment() != null) {
        throw new InvalidAttempt(
            "the path is an absolute URI or has a fragment; expected a path with optional query");
      }
    } catch (IllegalArgumentException e) {
      throw new InvalidAttempt("malformed path; expected a path with optional query");
    }
    return path;
  }

  /** Thrown when an attempt cannot be converted to a request for the endpoint. */
  static final class InvalidAttempt extends Exception {

    private static final long serialVersionUID = 1L;

    InvalidAttempt(String message) {
      super(message);
    }
  }
}
