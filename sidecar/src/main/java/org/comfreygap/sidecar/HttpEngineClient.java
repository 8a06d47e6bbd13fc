package org.comfreygap.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.async.methods.SimpleHttpRequest;
import org.apache.hc.client5.http.async.methods.SimpleHttpResponse;
import org.apache.hc.client5.http.async.methods.SimpleRequestBuilder;
import org.apache.hc.client5.http.async.methods.SimpleRequestProducer;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.config.TlsConfig;
import org.apache.hc.client5.http.impl.async.CloseableHttpAsyncClient;
import org.apache.hc.client5.http.impl.async.HttpAsyncClients;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManager;
import org.apache.hc.client5.http.impl.nio.PoolingAsyncClientConnectionManagerBuilder;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http2.HttpVersionPolicy;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.util.Timeout;
import org.comfreygap.settings.Documents.EndpointKind;

/**
 * Client for the HTTP protocol of endpoints, described in section 6 of the design page.
 *
 * <pre>{@code
 * EngineClient engine = new HttpEngineClient(URI.create("http://127.0.0.1:9000"));
 * }</pre>
 *
 * <p>Invariant: no request is sent twice, no redirect is followed, no cookie is stored, and each
 * connection carries one request. Bytes that an endpoint sends after a response can therefore not
 * be read as the response to another request. Thread safety: any thread may call; responses arrive
 * on an I/O thread.
 *
 * @since 0.1
 */
public final class HttpEngineClient implements EngineClient {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  // The I/O thread that reads an event also writes it to the gateway.
  private static final int IO_THREADS = 4;
  // A port without a process refuses connections immediately; a longer wait only means that the
  // instance is busy.
  private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(3);
  private static final Duration RESUME_READ_TIMEOUT = Duration.ofSeconds(30);
  // The ramp limits the connections in use; the pool must not be the limiting factor.
  private static final int MAX_CONNECTIONS = 16_384;

  /** Largest response to a call that concerns the engine or one of its adapters. */
  private static final int MAX_CALL_BYTES = 1024 * 1024;

  /** Largest exported KV cache. */
  private static final int MAX_CACHE_BYTES = 16 * 1024 * 1024;

  private static final int MAX_LINE_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 200;

  // Default buffers of 8 KiB for each direction would take 8 MiB of the 64 MiB heap at 500 streams.
  private static final Http1Config HTTP1 =
      Http1Config.custom()
          .setInitialWindowSize(INITIAL_DEMAND)
          .setBufferSize(2_048)
          .setMaxLineLength(MAX_LINE_BYTES)
          .setMaxHeaderCount(MAX_HEADERS)
          .build();

  private final URI base;
  private final CloseableHttpAsyncClient client;
  private volatile EndpointKind kind = EndpointKind.ENGINE;

  /** Creates a client for the endpoint at {@code base}; its kind is {@code ENGINE} until set. */
  public HttpEngineClient(URI base) {
    this.base = base;
    this.client = client(connections());
    client.start();
  }

  /** Sets the kind of endpoint, which determines the path of the state call. */
  public void kind(EndpointKind newKind) {
    kind = newKind;
  }

  @Override
  public CompletableFuture<EngineState> state(Duration timeout) {
    String path = kind == EndpointKind.SERVICE ? "/health" : "/engine/state";
    long sentAt = System.nanoTime();
    return call(SimpleRequestBuilder.get(uri(path)).build(), timeout)
        .thenCompose(reply -> parseState(reply, sentAt));
  }

  @Override
  public CompletableFuture<CommandReply> load(
      String name, String source, long fencing, Duration timeout) {
    ObjectNode body = MAPPER.createObjectNode();
    body.put("name", name).put("source", source).put("fencing", fencing);
    return command(
        SimpleRequestBuilder.post(uri("/engine/adapters"))
            .setBody(body.toString(), ContentType.APPLICATION_JSON)
            .build(),
        timeout);
  }

  @Override
  public CompletableFuture<CommandReply> unload(String name, long fencing, Duration timeout) {
    String path = "/engine/adapters/" + encode(name) + "?fencing=" + fencing;
    return command(SimpleRequestBuilder.delete(uri(path)).build(), timeout);
  }

  @Override
  public ResponseHandle start(EngineRequest request, ResponseListener listener) {
    SimpleRequestBuilder builder =
        SimpleRequestBuilder.create(request.method()).setUri(uri(request.path()));
    request.headers().forEach(builder::setHeader);
    if (request.body().length > 0) {
      String type = request.headers().getOrDefault("content-type", "application/octet-stream");
      builder.setBody(request.body(), ContentType.parseLenient(type));
    }
    ResponseConsumer consumer =
        new ResponseConsumer(request.attemptId(), request.checked(), listener);
    return stream(builder.build(), consumer, request.timeout());
  }

  @Override
  public CompletableFuture<Boolean> cancel(String attemptId, Duration timeout) {
    String path = "/engine/requests/" + encode(attemptId) + "/cancel";
    return call(SimpleRequestBuilder.post(uri(path)).build(), timeout)
        .thenApply(reply -> reply.getCode() / 100 == 2);
  }

  @Override
  public ResponseHandle resume(ResponseHandle broken, long offset, ResponseListener listener) {
    ResponseConsumer earlier = (ResponseConsumer) broken;
    String id = earlier.attemptId();
    SimpleHttpRequest request =
        SimpleRequestBuilder.get(uri("/engine/requests/" + encode(id) + "?offset=" + offset))
            .setHeader("x-request-id", id)
            .build();
    return stream(request, earlier.resumeWith(listener), RESUME_READ_TIMEOUT);
  }

  @Override
  public CompletableFuture<byte[]> exportCache(String attemptId, Duration timeout) {
    SimpleHttpRequest request =
        SimpleRequestBuilder.get(uri("/engine/kv/" + encode(attemptId))).build();
    return call(request, timeout, MAX_CACHE_BYTES)
        .thenCompose(
            reply ->
                reply.getCode() == 200
                    ? CompletableFuture.completedFuture(reply.getBodyBytes())
                    : malformed(
                        "the KV export returned status " + reply.getCode() + ", expected 200"));
  }

  @Override
  public CompletableFuture<Boolean> importCache(String attemptId, byte[] cache, Duration timeout) {
    SimpleHttpRequest request =
        SimpleRequestBuilder.put(uri("/engine/kv/" + encode(attemptId)))
            .setBody(cache, ContentType.APPLICATION_OCTET_STREAM)
            .build();
    return call(request, timeout).thenApply(reply -> reply.getCode() / 100 == 2);
  }

  @Override
  public void close() {
    client.close(CloseMode.IMMEDIATE);
  }

  /** Returns the exception for a failed exchange. */
  static EngineException translate(Exception failure) {
    if (failure instanceof EngineException known) {
      return known;
    }
    if (failure instanceof MessageConstraintException) {
      return new EngineException(EngineException.Kind.TOO_LARGE, failure.toString(), failure);
    }
    boolean notSent =
        failure instanceof ConnectException
            || failure instanceof ConnectTimeoutException
            || failure instanceof ConnectionRequestTimeoutException
            || failure instanceof NoRouteToHostException
            || failure instanceof UnknownHostException;
    EngineException.Kind kind =
        notSent ? EngineException.Kind.NOT_SENT : EngineException.Kind.BROKEN;
    return new EngineException(kind, failure.toString(), failure);
  }

  private ResponseHandle stream(
      SimpleHttpRequest request, ResponseConsumer consumer, Duration responseTimeout) {
    request.setConfig(config(responseTimeout));
    consumer.setExchange(
        client.execute(SimpleRequestProducer.create(request), consumer, consumer.callback()));
    return consumer;
  }

  private CompletableFuture<SimpleHttpResponse> call(SimpleHttpRequest request, Duration timeout) {
    return call(request, timeout, MAX_CALL_BYTES);
  }

  private CompletableFuture<SimpleHttpResponse> call(
      SimpleHttpRequest request, Duration timeout, int maxBytes) {
    request.setConfig(config(timeout));
    CompletableFuture<SimpleHttpResponse> future = new CompletableFuture<>();
    client.execute(
        SimpleRequestProducer.create(request),
        new CallConsumer(maxBytes),
        new FutureCallback<>() {
          @Override
          public void completed(SimpleHttpResponse reply) {
            future.complete(reply);
          }

          @Override
          public void failed(Exception failure) {
            future.completeExceptionally(translate(failure));
          }

          @Override
          public void cancelled() {
            future.completeExceptionally(
                new EngineException(EngineException.Kind.BROKEN, "the call was cancelled", null));
          }
        });
    return future;
  }

  private CompletableFuture<CommandReply> command(SimpleHttpRequest request, Duration timeout) {
    return call(request, timeout)
        .thenApply(
            reply -> {
              CommandStatus status =
                  switch (reply.getCode()) {
                    case 409 -> CommandStatus.FULL;
                    case 412 -> CommandStatus.STALE_FENCING;
                    default ->
                        reply.getCode() / 100 == 2 ? CommandStatus.DONE : CommandStatus.REFUSED;
                  };
              return new CommandReply(status, bootId(reply).orElse(""));
            });
  }

  private CompletableFuture<EngineState> parseState(SimpleHttpResponse reply, long sentAt) {
    if (reply.getCode() != 200) {
      return malformed("the state call returned status " + reply.getCode() + ", expected 200");
    }
    try {
      JsonNode body = MAPPER.readTree(reply.getBodyBytes());
      String bootInBody = body.path("bootId").asText();
      String boot = bootId(reply).orElse(bootInBody);
      if (boot.isEmpty() || !boot.equals(bootInBody)) {
        // A state collected before a restart does not describe the boot that sent it.
        return malformed("the state has boot id " + bootInBody + ", the reply header has " + boot);
      }
      List<String> resident = new ArrayList<>();
      body.path("resident").forEach(name -> resident.add(name.asText()));
      List<String> running = new ArrayList<>();
      body.path("running").forEach(entry -> running.add(entry.path("attempt").asText()));
      long uptime = body.path("uptimeMillis").asLong(0);
      return CompletableFuture.completedFuture(
          new EngineState(boot, uptime, resident, running, sentAt, System.nanoTime()));
    } catch (IOException e) {
      return malformed("the reply to the state call is not JSON");
    }
  }

  private URI uri(String path) {
    return URI.create(base.toString() + path);
  }

  private static <T> CompletableFuture<T> malformed(String message) {
    return CompletableFuture.failedFuture(
        new EngineException(EngineException.Kind.MALFORMED, message, null));
  }

  private static Optional<String> bootId(SimpleHttpResponse reply) {
    Header header = reply.getFirstHeader(ResponseConsumer.BOOT_ID_HEADER);
    return header == null ? Optional.empty() : Optional.of(header.getValue());
  }

  private static String encode(String segment) {
    return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
  }

  private static RequestConfig config(Duration responseTimeout) {
    return RequestConfig.custom()
        .setConnectionRequestTimeout(CONNECT_TIMEOUT)
        .setResponseTimeout(Timeout.of(responseTimeout))
        .setRedirectsEnabled(false)
        .setAuthenticationEnabled(false)
        .build();
  }

  private static PoolingAsyncClientConnectionManager connections() {
    return PoolingAsyncClientConnectionManagerBuilder.create()
        .setMaxConnTotal(MAX_CONNECTIONS)
        .setMaxConnPerRoute(MAX_CONNECTIONS)
        .setDefaultConnectionConfig(
            ConnectionConfig.custom().setConnectTimeout(CONNECT_TIMEOUT).build())
        .setDefaultTlsConfig(
            TlsConfig.custom().setVersionPolicy(HttpVersionPolicy.FORCE_HTTP_1).build())
        .build();
  }

  private static CloseableHttpAsyncClient client(PoolingAsyncClientConnectionManager manager) {
    return HttpAsyncClients.custom()
        .setConnectionManager(manager)
        .setHttp1Config(HTTP1)
        .setIOReactorConfig(
            IOReactorConfig.custom().setIoThreadCount(IO_THREADS).setTcpNoDelay(true).build())
        .setConnectionReuseStrategy((request, response, context) -> false)
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableCookieManagement()
        .disableAuthCaching()
        .build();
  }
}
