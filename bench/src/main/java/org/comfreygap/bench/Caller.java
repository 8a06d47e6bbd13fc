package org.comfreygap.bench;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;
import org.comfreygap.bench.CallResult.Verdict;

/**
 * Sends planned requests as an ordinary caller does and checks the responses. The client library
 * doesn't retry.
 *
 * <p>Thread safety: {@link #send} may be called from any thread.
 *
 * @since 0.1
 */
final class Caller implements AutoCloseable {

  private static final int MAX_CONNECTIONS = 4_000;
  private static final int PROMPT_CHARACTERS = 4 * Workload.PROMPT_TOKENS;
  private static final int MESSAGE_JSON_CHARACTERS =
      "[{\"role\":\"user\",\"content\":\"\"}]".length();

  private final String team;
  private final String service;
  private final CloseableHttpClient client;

  Caller(String team, String service, Duration timeout) {
    this.team = team;
    this.service = service;
    ConnectionConfig connection =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.ofSeconds(3))
            .setSocketTimeout(Timeout.of(timeout))
            .build();
    this.client =
        HttpClients.custom()
            .disableAutomaticRetries()
            .disableCookieManagement()
            .setConnectionManager(
                PoolingHttpClientConnectionManagerBuilder.create()
                    .setMaxConnTotal(MAX_CONNECTIONS)
                    .setMaxConnPerRoute(MAX_CONNECTIONS)
                    .setDefaultConnectionConfig(connection)
                    .build())
            .setDefaultRequestConfig(
                RequestConfig.custom()
                    .setResponseTimeout(Timeout.of(timeout))
                    .setConnectionRequestTimeout(3, TimeUnit.SECONDS)
                    .build())
            .build();
  }

  /** Sends {@code planned} to one of the gateways and waits for the end of its response. */
  CallResult send(PlannedRequest planned, List<String> gateways, int gateway, String key) {
    Exchange exchange = new Exchange(planned, gateway);
    try {
      return client.execute(
          buildRequest(planned, gateways.get(gateway), key),
          response -> readResponse(exchange, response));
    } catch (SocketTimeoutException e) {
      return exchange.result(Verdict.TIMED_OUT, "");
    } catch (IOException e) {
      return exchange.result(Verdict.BROKEN, e.getClass().getSimpleName());
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  /** Returns the body of a completion; its prompt has {@link Workload#PROMPT_TOKENS} tokens. */
  static String completionBody(PlannedRequest planned) {
    StringBuilder text = new StringBuilder("nonce:" + planned.nonce() + " ");
    while (text.length() < PROMPT_CHARACTERS - MESSAGE_JSON_CHARACTERS) {
      text.append('w');
    }
    return "{\"model\":\"%s\",\"max_tokens\":%d,\"stream\":%s,\"messages\":%s}"
        .formatted(
            planned.model(),
            planned.tokens(),
            planned.stream(),
            "[{\"role\":\"user\",\"content\":\"" + text + "\"}]");
  }

  private HttpPost buildRequest(PlannedRequest planned, String gateway, String key) {
    String path =
        planned.serviceCall() ? "/services/" + service + "/confirm" : "/v1/chat/completions";
    String body =
        planned.serviceCall()
            ? "{\"order\":\"nonce:" + planned.nonce() + "\"}"
            : completionBody(planned);
    HttpPost post = new HttpPost(gateway + path);
    post.setHeader("Authorization", "Bearer " + key);
    post.setHeader("Comfreygap-Priority", planned.priority());
    if (!planned.idempotencyKey().isEmpty()) {
      post.setHeader("Idempotency-Key", planned.idempotencyKey());
    }
    post.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
    return post;
  }

  private CallResult readResponse(Exchange exchange, ClassicHttpResponse response)
      throws IOException {
    exchange.status = response.getCode();
    Header outcome = response.getFirstHeader("Comfreygap-Outcome");
    exchange.outcome = outcome == null ? "" : outcome.getValue();
    ResponseCheck check = new ResponseCheck(exchange.planned, team);
    try {
      if (exchange.status != 200) {
        String text = bodyText(response);
        return exchange.result(
            verdictForStatus(exchange.status), text.substring(0, min(text, 200)));
      }
      if (exchange.planned.stream()) {
        readStream(exchange, response, check);
        Verdict verdict = check.streamVerdict();
        return exchange.result(verdict, verdict == Verdict.COMPLETE ? "" : check.problem());
      }
      String text = bodyText(response);
      exchange.firstMicros = Clock.micros();
      return exchange.result(check.bodyVerdict(text), "");
    } catch (SocketTimeoutException e) {
      return exchange.result(Verdict.TIMED_OUT, "");
    } catch (IOException | org.apache.hc.core5.http.ParseException e) {
      return exchange.result(Verdict.BROKEN, e.toString());
    }
  }

  private static void readStream(
      Exchange exchange, ClassicHttpResponse response, ResponseCheck check) throws IOException {
    BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(response.getEntity().getContent(), StandardCharsets.UTF_8));
    String line = lines.readLine();
    exchange.firstMicros = Clock.micros();
    while (line != null) {
      check.acceptLine(line);
      line = lines.readLine();
    }
  }

  private static String bodyText(ClassicHttpResponse response)
      throws IOException, org.apache.hc.core5.http.ParseException {
    return response.getEntity() == null ? "" : EntityUtils.toString(response.getEntity());
  }

  private static Verdict verdictForStatus(int status) {
    return switch (status) {
      case 400, 401, 403, 404, 409, 413 -> Verdict.REJECTED;
      default -> Verdict.REFUSED;
    };
  }

  private static int min(String text, int limit) {
    return Math.min(text.length(), limit);
  }

  private static final class Exchange {

    private final PlannedRequest planned;
    private final int gateway;
    private final long sentMicros = Clock.micros();
    private long firstMicros;
    private int status;
    private String outcome = "";

    Exchange(PlannedRequest planned, int gateway) {
      this.planned = planned;
      this.gateway = gateway;
    }

    CallResult result(Verdict verdict, String detail) {
      return new CallResult(
          planned,
          gateway,
          sentMicros,
          firstMicros,
          Clock.micros(),
          status,
          outcome,
          verdict,
          detail);
    }
  }
}
