package org.comfreygap.sidecar;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.apache.thrift.transport.TTransportException;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.CancelRequest;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.Priority;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.runtime.SharedKey;

/** A gateway for tests: posts attempts and collects their frames. */
final class TestGateway implements AutoCloseable {

  static final int TIMEOUT_SECONDS = 60;

  private final String base;
  private final SharedKey key;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "test-gateway");
            thread.setDaemon(true);
            return thread;
          });

  TestGateway(int port, SharedKey key) {
    this.base = "http://127.0.0.1:" + port;
    this.key = key;
  }

  /** An attempt on adapter {@code blue/NAME@v1} by customer {@code blue/press}. */
  static AttemptRequest attempt(String adapter, int tokens) {
    String body =
        "{\"prompt\":\"p\",\"max_tokens\":" + tokens + ",\"stream\":true,\"model\":\"any\"}";
    return new AttemptRequest()
        .setAttemptId(UUID.randomUUID().toString())
        .setRequestId(UUID.randomUUID().toString())
        .setGatewayId("gateway-1")
        .setCustomer("blue/press")
        .setRoute(Route.COMPLETIONS)
        .setAdapter("blue/" + adapter)
        .setVersion("v1")
        .setSource("store://" + adapter)
        .setBody(body.getBytes(StandardCharsets.UTF_8))
        .setPriority(Priority.NORMAL)
        .setIdempotent(false)
        .setDeadlineMillis(30_000)
        .setReservedTokens(tokens)
        .setFingerprint("fp-" + adapter)
        .setSettingsRevision(0)
        .setKeyId("k1")
        .setStream(true)
        .setEndpoint("engine-1");
  }

  /** An attempt on the plain service {@code orders}. */
  static AttemptRequest call(String method, String path) {
    return attempt("a", 1)
        .setRoute(Route.SERVICE)
        .setServiceName("orders")
        .setMethod(method)
        .setPath(path)
        .setBody(new byte[0])
        .setEndpoint("service-1");
  }

  /** Posts the attempt and reads its frames in the background. */
  Reply post(AttemptRequest request) {
    Reply reply = new Reply();
    reply.done = CompletableFuture.runAsync(() -> exchange(request, reply), threads);
    return reply;
  }

  /** Posts the attempt and waits for its last frame. */
  Reply run(AttemptRequest request) throws Exception {
    return post(request).await();
  }

  CancelReply cancel(String attemptId) throws Exception {
    byte[] body =
        new TSerializer(new TCompactProtocol.Factory())
            .serialize(new CancelRequest(attemptId, "test"));
    HttpURLConnection connection = open("/attempts/cancel", body);
    CancelReply reply = new CancelReply();
    new TDeserializer(new TCompactProtocol.Factory())
        .deserialize(reply, connection.getInputStream().readAllBytes());
    return reply;
  }

  /** Posts raw bytes with the given signature and returns the status. */
  int status(String path, byte[] body, String signature) throws IOException {
    HttpURLConnection connection = connect(path);
    connection.setRequestProperty(SharedKey.SIGNATURE_HEADER, signature);
    connection.getOutputStream().write(body);
    return connection.getResponseCode();
  }

  @Override
  public void close() {
    threads.shutdownNow();
  }

  private void exchange(AttemptRequest request, Reply reply) {
    try {
      byte[] body = new TSerializer(new TCompactProtocol.Factory()).serialize(request);
      HttpURLConnection connection = open("/attempts", body);
      reply.connection = connection;
      InputStream in = connection.getInputStream();
      TCompactProtocol protocol = new TCompactProtocol(new TIOStreamTransport(in));
      while (reply.last == null) {
        reply.awaitReadingAllowed();
        AttemptFrame frame = new AttemptFrame();
        frame.read(protocol);
        reply.add(frame);
      }
    } catch (TTransportException e) {
      reply.connectionClosed = true;
    } catch (IOException | TException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpURLConnection open(String path, byte[] body) throws IOException {
    HttpURLConnection connection = connect(path);
    connection.setRequestProperty(SharedKey.SIGNATURE_HEADER, key.signHttp(path, body));
    connection.getOutputStream().write(body);
    return connection;
  }

  private HttpURLConnection connect(String path) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create(base + path).toURL().openConnection();
    connection.setRequestMethod("POST");
    connection.setDoOutput(true);
    connection.setRequestProperty("Content-Type", "application/octet-stream");
    // Persistent connections would delay the stop of the sidecar at the end of each test.
    connection.setRequestProperty("Connection", "close");
    connection.setReadTimeout(TIMEOUT_SECONDS * 1_000);
    return connection;
  }

  /** The frames of one attempt on one connection. */
  static final class Reply {

    final List<AttemptFrame> frames = new ArrayList<>();
    final ByteArrayOutputStream data = new ByteArrayOutputStream();
    final CountDownLatch firstData = new CountDownLatch(1);
    volatile FrameBody last;
    volatile boolean connectionClosed;
    volatile HttpURLConnection connection;
    private volatile CountDownLatch readingAllowed = new CountDownLatch(0);
    private CompletableFuture<Void> done;
    private long firstOffset = -1;
    private final AtomicInteger beats = new AtomicInteger();

    Reply await() throws Exception {
      done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      return this;
    }

    boolean isDone() {
      return done.isDone();
    }

    void awaitData() throws InterruptedException {
      if (!firstData.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new AssertionError("no data frame within " + TIMEOUT_SECONDS + " s");
      }
    }

    /** Stops reading until {@link #resumeReading}. */
    void stopReading() {
      readingAllowed = new CountDownLatch(1);
    }

    void resumeReading() {
      readingAllowed.countDown();
    }

    /** Closes the connection abruptly, as when a gateway crashes. */
    void disconnect() {
      connection.disconnect();
    }

    String text() {
      synchronized (data) {
        return data.toString(StandardCharsets.UTF_8);
      }
    }

    long bytes() {
      synchronized (data) {
        return Math.max(0, firstOffset) + data.size();
      }
    }

    int beats() {
      return beats.get();
    }

    RefusalReason refusal() {
      return last.isSetRefusal() ? last.getRefusal().getReason() : null;
    }

    boolean finished() {
      return last != null && last.isSetFinish() && last.getFinish().getTotalBytes() == bytes();
    }

    private void awaitReadingAllowed() throws InterruptedException {
      readingAllowed.await();
    }

    private void add(AttemptFrame frame) {
      frames.add(frame);
      FrameBody body = frame.getBody();
      if (body.isSetData()) {
        synchronized (data) {
          if (firstOffset < 0) {
            firstOffset = body.getData().getOffset();
          }
          if (body.getData().getOffset() != firstOffset + data.size()) {
            throw new AssertionError("gap at offset " + body.getData().getOffset());
          }
          data.writeBytes(body.getData().getBytes());
        }
        firstData.countDown();
      } else if (body.isSetBeat()) {
        beats.incrementAndGet();
      } else if (!body.isSetHead()) {
        last = body;
      }
    }
  }
}
