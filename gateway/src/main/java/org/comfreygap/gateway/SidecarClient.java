package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.time.Duration;
import org.apache.hc.client5.http.ConnectTimeoutException;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.ManagedHttpClientConnectionFactory;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionRequestTimeoutException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.CancelRequest;
import org.comfreygap.runtime.SharedKey;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends messages to sidecars over HTTP.
 *
 * <p>Invariant: each call sends its message at most once; the client follows no redirects, keeps no
 * state between messages, and never reuses a connection that timed out or was closed early. Thread
 * safety: thread-safe.
 */
@Singleton
final class SidecarClient implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(SidecarClient.class);

  private static final String ATTEMPTS_PATH = "/attempts";
  private static final String CANCEL_PATH = "/attempts/cancel";
  private static final ContentType THRIFT_COMPACT =
      ContentType.create("application/vnd.apache.thrift.compact");
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(1_000);
  private static final Duration POOL_LEASE_TIMEOUT = Duration.ofMillis(250);
  private static final Duration VALIDATE_AFTER_IDLE = Duration.ofMillis(500);
  // Shorter than the idle timeout of the sidecar's server, so that the sidecar rarely closes first.
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(15);
  private static final int MAX_CONNECTIONS_PER_SIDECAR = 1_024;
  private static final int STATUS_OK = 200;

  /** Largest reply to a cancellation. */
  private static final int MAX_REPLY_BYTES = 64 * 1024;

  private static final int MAX_LINE_BYTES = 32 * 1024;
  private static final int MAX_HEADERS = 200;
  private static final Http1Config HTTP1 =
      Http1Config.custom().setMaxLineLength(MAX_LINE_BYTES).setMaxHeaderCount(MAX_HEADERS).build();

  private static final int FIRST_CLIENT_ERROR_STATUS = 400;
  private static final int FIRST_SERVER_ERROR_STATUS = 500;
  // A sidecar's server that stops responds with this status itself and passes no message on.
  private static final int STOPPING_STATUS = 503;

  private final SharedKey key;
  private final CloseableHttpClient client;

  @Inject
  SidecarClient(GatewaySettings settings) {
    this.key = settings.security().sharedKey();
    this.client = client(2 * settings.workers());
  }

  /**
   * Posts an attempt and returns its frames.
   *
   * @throws SidecarUnreachable when no connection could be opened, or the sidecar or its stopping
   *     server rejected the message
   * @throws FrameStreamBroken when the attempt may have reached the sidecar but no frames were
   *     received
   */
  FrameStream openAttempt(InetSocketAddress sidecar, AttemptRequest attempt)
      throws SidecarUnreachable, FrameStreamBroken {
    HttpPost post = post(ATTEMPTS_PATH, serialize(attempt));
    ClassicHttpResponse response = execute(sidecar, post);
    try {
      if (response.getCode() != STATUS_OK) {
        throw new IOException(
            "the sidecar responded with status " + response.getCode() + ", expected " + STATUS_OK);
      }
      return new FrameStream(post, response, attempt.getAttemptId(), attempt.getResumeOffset());
    } catch (IOException e) {
      post.cancel();
      closeQuietly(response);
      if (isRejected(response.getCode())) {
        throw new SidecarUnreachable("the sidecar rejected the message", e);
      }
      throw new FrameStreamBroken("received no frames", e);
    }
  }

  /**
   * Cancels an attempt.
   *
   * @throws SidecarUnreachable when no connection could be opened
   * @throws FrameStreamBroken when no valid reply was received
   */
  CancelReply cancel(InetSocketAddress sidecar, String attemptId, String reason)
      throws SidecarUnreachable, FrameStreamBroken {
    HttpPost post = post(CANCEL_PATH, serialize(new CancelRequest(attemptId, reason)));
    ClassicHttpResponse response = execute(sidecar, post);
    boolean complete = false;
    try {
      if (response.getCode() != STATUS_OK) {
        throw new IOException(
            "the sidecar responded with status " + response.getCode() + ", expected " + STATUS_OK);
      }
      byte[] body = response.getEntity().getContent().readNBytes(MAX_REPLY_BYTES + 1);
      if (body.length > MAX_REPLY_BYTES) {
        throw new IOException("given a reply of more than " + MAX_REPLY_BYTES + " bytes");
      }
      CancelReply reply = new CancelReply();
      new TDeserializer(new TCompactProtocol.Factory()).deserialize(reply, body);
      complete = true;
      return reply;
    } catch (IOException | TException e) {
      throw new FrameStreamBroken("received no valid reply to a cancellation", e);
    } finally {
      if (!complete) {
        post.cancel();
      }
      closeQuietly(response);
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  private ClassicHttpResponse execute(InetSocketAddress sidecar, HttpPost post)
      throws SidecarUnreachable, FrameStreamBroken {
    HttpHost host = new HttpHost("http", sidecar.getHostString(), sidecar.getPort());
    try {
      return client.executeOpen(host, post, null);
    } catch (ConnectTimeoutException
        | ConnectionRequestTimeoutException
        | ConnectException
        | NoRouteToHostException
        | UnknownHostException e) {
      throw new SidecarUnreachable("cannot connect to the sidecar", e);
    } catch (IOException e) {
      post.cancel();
      throw new FrameStreamBroken("received no response from the sidecar", e);
    }
  }

  /** Returns true for the statuses with which a sidecar says that it took no message. */
  static boolean isRejected(int status) {
    boolean clientError = status >= FIRST_CLIENT_ERROR_STATUS && status < FIRST_SERVER_ERROR_STATUS;
    return clientError || status == STOPPING_STATUS;
  }

  private HttpPost post(String path, byte[] body) {
    HttpPost post = new HttpPost(path);
    post.setHeader(SharedKey.SIGNATURE_HEADER, key.signHttp(path, body));
    post.setEntity(new ByteArrayEntity(body, THRIFT_COMPACT));
    return post;
  }

  private static byte[] serialize(TBase<?, ?> message) {
    try {
      return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
    } catch (TException e) {
      throw new IllegalStateException("failed to serialize a message", e);
    }
  }

  private static void closeQuietly(ClassicHttpResponse response) {
    try {
      response.close();
    } catch (IOException e) {
      LOG.debug("failed to close a sidecar connection cleanly", e);
    }
  }

  static CloseableHttpClient client(int maxConnections) {
    ConnectionConfig connections =
        ConnectionConfig.custom()
            .setConnectTimeout(Timeout.of(CONNECT_TIMEOUT))
            .setSocketTimeout(Timeout.of(FrameStream.SILENCE_TIMEOUT))
            .setValidateAfterInactivity(TimeValue.of(VALIDATE_AFTER_IDLE))
            .build();
    PoolingHttpClientConnectionManager manager =
        PoolingHttpClientConnectionManagerBuilder.create()
            .setConnectionFactory(
                ManagedHttpClientConnectionFactory.builder().http1Config(HTTP1).build())
            .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
            .setDefaultConnectionConfig(connections)
            .setDefaultSocketConfig(
                SocketConfig.custom()
                    .setTcpNoDelay(true)
                    .setSoTimeout(Timeout.of(FrameStream.SILENCE_TIMEOUT))
                    .build())
            .setMaxConnPerRoute(MAX_CONNECTIONS_PER_SIDECAR)
            .setMaxConnTotal(maxConnections)
            .build();
    RequestConfig requests =
        RequestConfig.custom()
            .setConnectionRequestTimeout(Timeout.of(POOL_LEASE_TIMEOUT))
            .setResponseTimeout(Timeout.of(FrameStream.SILENCE_TIMEOUT))
            .build();
    return HttpClients.custom()
        .setConnectionManager(manager)
        .setDefaultRequestConfig(requests)
        .disableAutomaticRetries()
        .disableRedirectHandling()
        .disableCookieManagement()
        .disableAuthCaching()
        .disableContentCompression()
        .disableConnectionState()
        .disableDefaultUserAgent()
        .evictIdleConnections(TimeValue.of(MAX_IDLE_TIME))
        .build();
  }
}
