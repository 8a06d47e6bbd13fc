package org.comfreygap.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.util.Timeout;

/**
 * A client of the administration API that follows the control leader.
 *
 * <pre>{@code
 * JsonNode status = client.get("/status");
 * }</pre>
 *
 * <p>A call is retried for up to 10 s when an instance does not respond or knows no leader. Every
 * change carries an operation id, so that a retry returns the first response.
 *
 * <p>Invariant: the token is only sent to the given servers and to leaders they redirect to. Thread
 * safety: not thread-safe.
 *
 * @since 0.1
 */
public final class AdminClient implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration RETRY_LIMIT = Duration.ofSeconds(10);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(200);
  private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(2);
  private static final Timeout RESPONSE_TIMEOUT = Timeout.ofSeconds(90);
  private static final int MAX_REDIRECTS_WITHOUT_PAUSE = 3;

  private final Deque<String> servers;
  private final String token;
  private final CloseableHttpClient http;

  /** Creates a client of the control instances at {@code servers}, base URLs without a path. */
  public AdminClient(List<String> servers, String token) {
    this.servers = new ArrayDeque<>(servers.stream().map(AdminClient::normalizeUrl).toList());
    this.token = token;
    ConnectionConfig connection =
        ConnectionConfig.custom().setConnectTimeout(CONNECT_TIMEOUT).build();
    this.http =
        HttpClients.custom()
            .disableAutomaticRetries()
            .disableRedirectHandling()
            .disableCookieManagement()
            .setConnectionManager(
                PoolingHttpClientConnectionManagerBuilder.create()
                    .setDefaultConnectionConfig(connection)
                    .build())
            .setDefaultRequestConfig(
                RequestConfig.custom().setResponseTimeout(RESPONSE_TIMEOUT).build())
            .build();
  }

  /**
   * Sends a GET request.
   *
   * @throws CommandException if the call is refused or no instance responds
   */
  public JsonNode get(String pathAndQuery) throws CommandException {
    return call("GET", pathAndQuery, Map.of(), Optional.empty());
  }

  /**
   * Sends a change request.
   *
   * @param headers headers in addition to the token and the content type
   * @throws CommandException if the change is refused or no instance responds
   */
  public JsonNode send(
      String method, String pathAndQuery, Map<String, String> headers, Optional<JsonNode> body)
      throws CommandException {
    return call(method, pathAndQuery, headers, body);
  }

  /**
   * Fetches JSON from another process, without sending the token.
   *
   * @throws IOException if the process does not respond
   */
  public JsonNode getFromProcess(String url) throws IOException {
    return http.execute(
        ClassicRequestBuilder.get(url).build(),
        response -> MAPPER.readTree(EntityUtils.toString(response.getEntity())));
  }

  @Override
  public void close() {
    try {
      http.close();
    } catch (IOException e) {
      throw new IllegalStateException("closing the HTTP client failed", e);
    }
  }

  private JsonNode call(
      String method, String pathAndQuery, Map<String, String> headers, Optional<JsonNode> body)
      throws CommandException {
    long deadline = System.nanoTime() + RETRY_LIMIT.toNanos();
    List<String> failures = new ArrayList<>();
    int redirects = 0;
    while (System.nanoTime() < deadline) {
      String server = servers.peekFirst();
      HttpResult result;
      try {
        ClassicHttpRequest request = request(method, server + pathAndQuery, headers, body);
        result = http.execute(request, HttpResult::read);
      } catch (IOException e) {
        failures.add(server + ": " + e.getMessage());
        servers.addLast(servers.removeFirst());
        pause();
        continue;
      }
      if (result.status < 300) {
        return parse(result.body);
      }
      if (result.status == 307 && result.location.isPresent()) {
        preferLeader(result.location.get());
        redirects++;
        if (redirects > MAX_REDIRECTS_WITHOUT_PAUSE) {
          pause();
        }
        continue;
      }
      if (result.status == 503) {
        failures.add(server + ": no leader");
        servers.addLast(servers.removeFirst());
        pause();
        continue;
      }
      throw new CommandException(ExitCode.ofStatus(result.status), describe(result));
    }
    String last = failures.isEmpty() ? "too many redirects" : failures.get(failures.size() - 1);
    throw new CommandException(
        ExitCode.UNAVAILABLE, "no control leader responded within 10 s; last failure: " + last);
  }

  private ClassicHttpRequest request(
      String method, String url, Map<String, String> headers, Optional<JsonNode> body) {
    ClassicRequestBuilder builder = ClassicRequestBuilder.create(method).setUri(url);
    builder.addHeader("Authorization", "Bearer " + token);
    headers.forEach(builder::addHeader);
    body.ifPresent(b -> builder.setEntity(b.toString(), ContentType.APPLICATION_JSON));
    return builder.build();
  }

  private void preferLeader(String location) {
    int pathStart = location.indexOf('/', location.indexOf("//") + 2);
    String leader = pathStart < 0 ? location : location.substring(0, pathStart);
    servers.remove(leader);
    servers.addFirst(leader);
  }

  private static JsonNode parse(String body) throws CommandException {
    try {
      return MAPPER.readTree(body.isEmpty() ? "{}" : body);
    } catch (JsonProcessingException e) {
      throw new CommandException(
          ExitCode.UNAVAILABLE, "control sent a response that is not JSON", e);
    }
  }

  private static String describe(HttpResult result) {
    JsonNode error;
    try {
      error = MAPPER.readTree(result.body).path("error");
    } catch (JsonProcessingException e) {
      return "control responded with status " + result.status + ": " + result.body;
    }
    StringBuilder text = new StringBuilder(error.path("message").asText("refused"));
    if (error.hasNonNull("changedBy")) {
      text.append("; revision ").append(error.path("currentRevision").asText());
      text.append(" was set by ").append(error.path("changedBy").asText());
    }
    for (JsonNode fault : error.path("faults")) {
      text.append("\n  ").append(fault.path("path").asText());
      text.append(": given ").append(fault.path("given").asText());
      text.append(", expected ").append(fault.path("expected").asText());
    }
    return text.toString();
  }

  private static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String normalizeUrl(String url) {
    String base = url.contains("://") ? url : "http://" + url;
    return base.endsWith("/") ? base.substring(0, base.length() - 1) : base;
  }

  private record HttpResult(int status, String body, Optional<String> location) {

    static HttpResult read(ClassicHttpResponse response) throws IOException {
      try {
        String body =
            response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
        Header location = response.getFirstHeader("Location");
        return new HttpResult(
            response.getCode(), body, Optional.ofNullable(location).map(Header::getValue));
      } catch (ParseException e) {
        throw new IOException("malformed response", e);
      }
    }
  }
}
