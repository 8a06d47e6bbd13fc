package org.comfreygap.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;
import org.comfreygap.testkit.RawHttpServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The naive policy that comfreygap is compared with: a random endpoint, adapters loaded on demand
 * with least-recently-used eviction, and each customer's rate divided evenly over the gateways.
 *
 * <p>It respects the endpoint's maximum batch (first come, first served) and the zones in service,
 * and never evicts an adapter in use, so that the comparison is between policies and not between a
 * working and a broken program. Thread safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
final class NaiveProxy implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(NaiveProxy.class);

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int BUFFER_BYTES = 8_192;

  private final List<RawHttpServer> servers = new ArrayList<>();
  private final List<NaiveEndpoint> engines;
  private final List<NaiveEndpoint> services;
  private final Set<String> zonesOut = ConcurrentHashMap.newKeySet();
  private final String team;
  private final Random random;
  private final CloseableHttpClient client;

  NaiveProxy(
      String team,
      List<NaiveEndpoint> engines,
      List<NaiveEndpoint> services,
      List<Map<String, Bucket>> bucketsOfGateways,
      long seed)
      throws IOException {
    this.team = team;
    this.engines = engines;
    this.services = services;
    this.random = new Random(seed);
    this.client =
        HttpClients.custom()
            .disableAutomaticRetries()
            .setConnectionManager(
                PoolingHttpClientConnectionManagerBuilder.create()
                    .setMaxConnTotal(4_000)
                    .setMaxConnPerRoute(1_000)
                    .build())
            .setDefaultRequestConfig(
                RequestConfig.custom().setResponseTimeout(Timeout.ofSeconds(60)).build())
            .build();
    for (Map<String, Bucket> buckets : bucketsOfGateways) {
      servers.add(
          new RawHttpServer(
              new InetSocketAddress("127.0.0.1", 0),
              (request, response) -> handle(buckets, request, response)));
    }
  }

  List<String> urls() {
    return servers.stream().map(server -> "http://127.0.0.1:" + server.port()).toList();
  }

  void setZoneInService(String zone, boolean in) {
    if (in) {
      zonesOut.remove(zone);
    } else {
      zonesOut.add(zone);
    }
  }

  @Override
  public void close() throws IOException {
    for (RawHttpServer server : servers) {
      server.close();
    }
    client.close();
  }

  private void handle(
      Map<String, Bucket> buckets, RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    if (request.path().startsWith("/services/")) {
      forwardServiceCall(request, response);
      return;
    }
    JsonNode body = JSON.readTree(request.body());
    String customer = request.header("authorization").replace("Bearer ", "");
    long tokens = Workload.PROMPT_TOKENS + body.path("max_tokens").asLong();
    if (!buckets.get(customer).tryTake(tokens, System.nanoTime())) {
      refuse(response, 429);
      return;
    }
    NaiveEndpoint engine = chooseEndpoint(engines);
    engine.permits.acquire();
    try {
      forwardCompletion(engine, team + "/" + body.path("model").asText(), body, response);
    } finally {
      engine.permits.release();
    }
  }

  private void forwardCompletion(
      NaiveEndpoint engine, String adapter, JsonNode body, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    NaiveEndpoint.AdapterUse use = engine.acquire(adapter);
    try {
      if (use.mustLoad()) {
        boolean done = loadAdapter(engine, use);
        engine.completeLoad(use, done);
        if (!done) {
          refreshResident(engine);
          refuse(response, 502);
          return;
        }
      }
      ((com.fasterxml.jackson.databind.node.ObjectNode) body).put("model", adapter);
      HttpPost post = new HttpPost(engine.url + "/v1/chat/completions");
      post.setHeader("X-Request-Id", UUID.randomUUID().toString());
      post.setEntity(new StringEntity(JSON.writeValueAsString(body), ContentType.APPLICATION_JSON));
      forward(engine, post, response);
    } finally {
      engine.release(use);
    }
  }

  private void forwardServiceCall(RawHttpServer.Request request, RawHttpServer.Response response)
      throws IOException, InterruptedException {
    NaiveEndpoint service = chooseEndpoint(services);
    service.permits.acquire();
    try {
      HttpPost post = new HttpPost(service.url + request.path());
      post.setHeader("Idempotency-Key", request.header("idempotency-key"));
      post.setEntity(
          new StringEntity(
              new String(request.body(), StandardCharsets.UTF_8), ContentType.APPLICATION_JSON));
      forward(service, post, response);
    } finally {
      service.permits.release();
    }
  }

  private boolean loadAdapter(NaiveEndpoint engine, NaiveEndpoint.AdapterUse use) {
    try {
      if (!use.victim().isEmpty()) {
        String name = URLEncoder.encode(use.victim(), StandardCharsets.UTF_8);
        client.execute(
            new HttpDelete(engine.url + "/engine/adapters/" + name + "?fencing=0"),
            engineResponse -> engineResponse.getCode());
      }
      HttpPost post = new HttpPost(engine.url + "/engine/adapters");
      String command = "{\"name\":\"" + use.adapter + "\",\"source\":\"store\",\"fencing\":0}";
      post.setEntity(new StringEntity(command, ContentType.APPLICATION_JSON));
      return client.execute(post, engineResponse -> engineResponse.getCode()) == 200;
    } catch (IOException e) {
      return false;
    }
  }

  private void forward(NaiveEndpoint endpoint, HttpPost post, RawHttpServer.Response response)
      throws IOException {
    boolean[] responseStarted = new boolean[1];
    try {
      client.execute(
          post,
          engineResponse -> {
            if (engineResponse.getCode() != 200) {
              refusedByEndpoint(endpoint, engineResponse);
              refuse(response, 502);
              return null;
            }
            String type = engineResponse.getEntity().getContentType();
            response.beginChunked(200, Map.of("content-type", type));
            responseStarted[0] = true;
            copy(engineResponse.getEntity().getContent(), response);
            return null;
          });
    } catch (IOException e) {
      if (responseStarted[0]) {
        throw e;
      }
      refreshResident(endpoint);
      refuse(response, 502);
    }
  }

  private void refusedByEndpoint(NaiveEndpoint endpoint, ClassicHttpResponse engineResponse) {
    EntityUtils.consumeQuietly(engineResponse.getEntity());
    if (engineResponse.getCode() == 404) {
      refreshResident(endpoint);
    }
  }

  private void refreshResident(NaiveEndpoint endpoint) {
    if (services.contains(endpoint)) {
      return;
    }
    try {
      JsonNode state =
          client.execute(
              new HttpGet(endpoint.url + "/engine/state"),
              engineResponse -> JSON.readTree(engineResponse.getEntity().getContent()));
      Set<String> names = new HashSet<>();
      state.path("resident").forEach(name -> names.add(name.asText()));
      endpoint.resident(names);
    } catch (IOException e) {
      LOG.debug("cannot read the state of an engine", e);
    }
  }

  private static void copy(InputStream in, RawHttpServer.Response response) throws IOException {
    byte[] buffer = new byte[BUFFER_BYTES];
    int count = in.read(buffer);
    while (count >= 0) {
      response.sendChunk(java.util.Arrays.copyOf(buffer, count));
      count = in.read(buffer);
    }
    response.endChunked();
  }

  private NaiveEndpoint chooseEndpoint(List<NaiveEndpoint> endpoints) {
    List<NaiveEndpoint> in =
        endpoints.stream().filter(endpoint -> !zonesOut.contains(endpoint.zone)).toList();
    synchronized (random) {
      return in.get(random.nextInt(in.size()));
    }
  }

  private static void refuse(RawHttpServer.Response response, int status) throws IOException {
    response.send(status, Map.of("content-type", "application/json"), new byte[] {'{', '}'});
  }

  /** A customer's token bucket at one gateway. */
  static final class Bucket {

    private final double perSecond;
    private final double burst;
    private double level;
    private long filledNanos = System.nanoTime();

    Bucket(double perSecond, double burst) {
      this.perSecond = perSecond;
      this.burst = burst;
      this.level = burst;
    }

    synchronized boolean tryTake(long tokens, long nowNanos) {
      level = Math.min(burst, level + (nowNanos - filledNanos) / 1e9 * perSecond);
      filledNanos = nowNanos;
      if (level < tokens) {
        return false;
      }
      level -= tokens;
      return true;
    }
  }
}
