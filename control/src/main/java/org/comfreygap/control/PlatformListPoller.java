package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.util.Timeout;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform's list of live and leaving instances, which lags behind their state.
 *
 * <p>Invariant: a failed poll changes nothing; the last list expires after some time. Thread
 * safety: one thread polls.
 */
@Singleton
final class PlatformListPoller implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PlatformListPoller.class);

  private static final Timeout TIMEOUT = Timeout.ofSeconds(2);

  /** Longest time for a whole call, however often bytes arrive. */
  static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

  /** Largest list. */
  static final int MAX_BYTES = 4 << 20;

  private static final int MAX_LINE_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 200;

  private final Optional<ControlSettings.PlatformList> source;
  private final MembershipController membership;
  private final EventLog events;
  private final CloseableHttpClient client;

  @Inject
  PlatformListPoller(ControlSettings settings, MembershipController membership, EventLog events) {
    this.source = settings.platformList();
    this.membership = membership;
    this.events = events;
    this.client = client();
  }

  /** Returns a client that reads each response on a connection of its own, with a bounded head. */
  static CloseableHttpClient client() {
    Http1Config bounds =
        Http1Config.custom()
            .setMaxLineLength(MAX_LINE_BYTES)
            .setMaxHeaderCount(MAX_HEADERS)
            .build();
    return HttpClients.custom()
        .setConnectionManager(
            PoolingHttpClientConnectionManagerBuilder.create()
                .setConnectionFactory(
                    ManagedHttpClientConnectionFactory.builder().http1Config(bounds).build())
                .build())
        .disableAutomaticRetries()
        // Bytes after a response would be read as the beginning of the next list.
        .setConnectionReuseStrategy((request, response, context) -> false)
        .setDefaultRequestConfig(
            RequestConfig.custom()
                .setResponseTimeout(TIMEOUT)
                .setConnectionRequestTimeout(TIMEOUT)
                .build())
        .build();
  }

  /**
   * Reads a list.
   *
   * @throws IOException when it is not JSON or larger than {@link #MAX_BYTES}
   */
  static JsonNode readList(InputStream body) throws IOException {
    byte[] list = body.readNBytes(MAX_BYTES + 1);
    if (list.length > MAX_BYTES) {
      throw new IOException("given a list of more than " + MAX_BYTES + " bytes, expected fewer");
    }
    return Codec.MAPPER.readTree(list);
  }

  Optional<Duration> period() {
    return source.map(ControlSettings.PlatformList::poll);
  }

  /**
   * Asks for a list, and closes the connection where the response fails: closing the response alone
   * would read the rest of its body.
   *
   * @throws IOException when there is no list within {@link #CALL_TIMEOUT}
   */
  static JsonNode fetch(CloseableHttpClient client, String url) throws IOException {
    HttpGet request = new HttpGet(url);
    Executor afterTimeout =
        CompletableFuture.delayedExecutor(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    CompletableFuture<Void> timeout = CompletableFuture.runAsync(request::cancel, afterTimeout);
    try {
      return client.execute(request, response -> readResponse(request, response));
    } finally {
      timeout.cancel(false);
    }
  }

  private static JsonNode readResponse(HttpGet request, ClassicHttpResponse response)
      throws IOException {
    try {
      if (response.getCode() != 200) {
        throw new IOException("given status " + response.getCode() + ", expected 200");
      }
      return readList(response.getEntity().getContent());
    } catch (IOException e) {
      request.cancel();
      throw e;
    }
  }

  void poll(LeaderTerm term) {
    String url = source.orElseThrow().url();
    try {
      JsonNode list = fetch(client, url);
      if (!list.path("instances").isArray()) {
        throw new IOException("given no array of instances, expected one in the response");
      }
      Map<String, Boolean> leaving = new HashMap<>();
      for (JsonNode instance : list.path("instances")) {
        leaving.put(
            instance.path("address").asText(), instance.path("state").asText().equals("leaving"));
      }
      membership.applyPlatformList(term, leaving);
    } catch (IOException e) {
      events.record(ControlEvent.PLATFORM_LIST_FAILED, Field.of("cause", e.getMessage()));
    }
  }

  @Override
  public void close() {
    try {
      client.close();
    } catch (IOException e) {
      LOG.debug("failed to close the HTTP client of the platform list", e);
    }
  }
}
