package org.comfreygap.testkit;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.protocol.generated.CancelReply;
import org.comfreygap.protocol.generated.CancelRequest;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.protocol.generated.FrameBeat;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameData;
import org.comfreygap.protocol.generated.FrameEnd;
import org.comfreygap.protocol.generated.FrameFailure;
import org.comfreygap.protocol.generated.FrameHead;
import org.comfreygap.protocol.generated.FrameRefusal;
import org.comfreygap.protocol.generated.Outcome;
import org.comfreygap.protocol.generated.RefusalReason;
import org.comfreygap.protocol.generated.Route;
import org.comfreygap.runtime.SharedKey;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.NetworkTrafficListener;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.NetworkTrafficServerConnector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * An in-memory sidecar and endpoint behind the attempt protocol's HTTP interface, with fault
 * injection.
 *
 * <pre>{@code
 * FakeSidecar sidecar = FakeSidecar.start("engine-1", sharedKey);
 * sidecar.plan(FakeSidecar.Fault.SILENT_HALFWAY);
 * }</pre>
 *
 * <p>An attempt id runs at most once; a repeated request replays its buffered response. Thread
 * safety: all methods may be called from any thread.
 *
 * @since 0.1
 */
public final class FakeSidecar implements AutoCloseable {

  private static final int THREADS = 700;
  private static final int HEARTBEAT_MILLIS = 250;
  private static final int MAX_RECORDED_BYTES = 16 * 1024 * 1024;

  private final String endpoint;
  private final SharedKey key;
  private final Server server;
  private final NetworkTrafficServerConnector connector;
  private final Queue<PlannedFault> plannedFaults = new ConcurrentLinkedQueue<>();
  private final Map<String, Run> runs = new ConcurrentHashMap<>();
  private final Queue<AttemptRequest> receivedRequests = new ConcurrentLinkedQueue<>();
  private final Queue<CancelRequest> cancellations = new ConcurrentLinkedQueue<>();
  private final Set<String> resident = ConcurrentHashMap.newKeySet();
  private final AtomicLong sequence = new AtomicLong();
  private final AtomicInteger startedAttempts = new AtomicInteger();
  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger maxRunning = new AtomicInteger();
  private final ByteArrayOutputStream traffic = new ByteArrayOutputStream();
  private volatile Function<AttemptRequest, EndpointResponse> responder = FakeSidecar::echo;
  private volatile PlannedFault defaultFault =
      new PlannedFault(Fault.NONE, RefusalReason.QUEUE_FULL);
  private volatile String bootId = "boot-1";
  private volatile boolean recordTraffic;
  private volatile boolean keepRequests = true;
  private volatile int reportedLimit = 16;

  private FakeSidecar(String endpoint, SharedKey key) {
    this.endpoint = endpoint;
    this.key = key;
    QueuedThreadPool threads = new QueuedThreadPool(THREADS, 8);
    threads.setName("fake-sidecar-" + endpoint);
    threads.setDaemon(true);
    this.server = new Server(threads);
    this.connector = new NetworkTrafficServerConnector(server);
    connector.setHost("127.0.0.1");
    connector.setNetworkTrafficListener(new TrafficRecorder());
    server.addConnector(connector);
    server.setHandler(new AttemptHandler());
  }

  /** Faults of one attempt. A later attach to the attempt succeeds unless stated otherwise. */
  public enum Fault {
    NONE,
    /** The attempt is refused before it runs, with the planned reason. */
    REFUSE,
    /** The engine crashes after half of the response. */
    CRASH,
    /** The connection closes before the response head; the attempt runs. */
    CLOSE_BEFORE_HEAD,
    /** The connection closes before the response head; the attempt neither runs nor is known. */
    LOSE_REQUEST,
    /** The server stops and responds with 503; the attempt neither runs nor is known. */
    SERVER_STOPS,
    /** Nothing is sent; the attempt runs. */
    SILENT_BEFORE_HEAD,
    /** Nothing is sent after half of the response; the connection stays open. */
    SILENT_HALFWAY,
    /** The body ends with valid HTTP framing after half of the response, without a final frame. */
    END_HALFWAY,
    /** The connection closes after half of the response. */
    CUT_HALFWAY,
    /** The connection closes after half of the response, and the attempt becomes unknown. */
    FORGET_HALFWAY,
    /** Data frames carry the id and bytes of another attempt. */
    WRONG_ATTEMPT,
    /** Data frames of the second half carry offset 0 and different bytes. */
    WRONG_OFFSET,
    /** The second half is omitted, but the total in the final frame includes it. */
    WRONG_TOTAL,
    /** Only heartbeat frames are sent until the attempt is cancelled. */
    BEATS_ONLY
  }

  /**
   * A response of the endpoint.
   *
   * @param parts parts of the body, each sent as one data frame
   * @param pauseMillis pause before each part
   */
  public record EndpointResponse(
      int status,
      Map<String, String> headers,
      List<byte[]> parts,
      long pauseMillis,
      long tokensUsed) {

    /** Returns a JSON response that is sent without pauses. */
    public static EndpointResponse json(int status, String json) {
      byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
      return new EndpointResponse(
          status, Map.of("Content-Type", "application/json"), List.of(bytes), 0, 10);
    }

    /** Returns a response of server-sent events, one part per event. */
    public static EndpointResponse events(List<String> events, long pauseMillis) {
      List<byte[]> parts =
          events.stream()
              .map(event -> ("data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8))
              .toList();
      return new EndpointResponse(
          200, Map.of("Content-Type", "text/event-stream"), parts, pauseMillis, parts.size());
    }

    private long totalBytes() {
      return parts.stream().mapToLong(part -> part.length).sum();
    }
  }

  private record PlannedFault(Fault fault, RefusalReason reason) {}

  private record Run(EndpointResponse response, Fault fault, AtomicInteger connections) {}

  /** Starts a sidecar for {@code endpoint} on a free loopback port. */
  public static FakeSidecar start(String endpoint, SharedKey key) throws Exception {
    FakeSidecar sidecar = new FakeSidecar(endpoint, key);
    sidecar.server.start();
    return sidecar;
  }

  /** Returns the address of the attempt server. */
  public InetSocketAddress address() {
    return new InetSocketAddress("127.0.0.1", connector.getLocalPort());
  }

  /** Sets the function that creates the endpoint's response to an attempt. */
  public void responder(Function<AttemptRequest, EndpointResponse> function) {
    responder = function;
  }

  /** Queues a fault; each new attempt takes the first one in the queue. */
  public void planFault(Fault fault) {
    plannedFaults.add(new PlannedFault(fault, RefusalReason.QUEUE_FULL));
  }

  /** Queues a refusal; each new attempt takes the first fault in the queue. */
  public void planRefusal(RefusalReason reason) {
    plannedFaults.add(new PlannedFault(Fault.REFUSE, reason));
  }

  /** Sets the fault of new attempts for which none is queued. */
  public void setDefaultFault(Fault fault, RefusalReason reason) {
    defaultFault = new PlannedFault(fault, reason);
  }

  /** Sets the concurrency limit in the endpoint reports. */
  public void reportedLimit(int bound) {
    reportedLimit = bound;
  }

  /** Sets whether received bytes are recorded, up to 16 MiB. */
  public void recordTraffic(boolean on) {
    recordTraffic = on;
  }

  /** Sets whether requests and runs are kept; long measurements turn this off to save memory. */
  public void keepRequests(boolean on) {
    keepRequests = on;
  }

  /** Returns the recorded bytes. */
  public byte[] traffic() {
    synchronized (traffic) {
      return traffic.toByteArray();
    }
  }

  /** Returns the attempt requests received, including those that only attach. */
  public List<AttemptRequest> receivedRequests() {
    return List.copyOf(receivedRequests);
  }

  /** Returns the cancellations received. */
  public List<CancelRequest> cancellations() {
    return List.copyOf(cancellations);
  }

  /** Returns the number of attempts started at the endpoint. */
  public int startedAttempts() {
    return startedAttempts.get();
  }

  /** Returns the number of connections on which a response is being sent. */
  public int running() {
    return running.get();
  }

  /** Returns the highest value that {@link #running} had. */
  public int maxRunning() {
    return maxRunning.get();
  }

  /** Stops accepting and closes all connections. */
  @Override
  public void close() {
    LifeCycle.stop(server);
  }

  private static EndpointResponse echo(AttemptRequest request) {
    String name = request.isSetAdapter() ? request.getAdapter() + "@" + request.getVersion() : "";
    return request.isStream()
        ? EndpointResponse.events(List.of("{\"model\":\"" + name + "\"}", "[DONE]"), 0)
        : EndpointResponse.json(200, "{\"model\":\"" + name + "\",\"text\":\"ok\"}");
  }

  private EndpointReport report() {
    return new EndpointReport(
        endpoint,
        bootId,
        sequence.incrementAndGet(),
        0,
        running.get(),
        reportedLimit,
        8,
        new ArrayList<>(resident));
  }

  private final class AttemptHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
      byte[] body = Content.Source.asInputStream(request).readAllBytes();
      String path = request.getHttpURI().getPath();
      if (!key.verifyHttp(request.getHeaders().get(SharedKey.SIGNATURE_HEADER), path, body)) {
        response.setStatus(401);
        callback.succeeded();
        return true;
      }
      try {
        if (path.equals("/attempts")) {
          AttemptRequest attempt = new AttemptRequest();
          new TDeserializer(new TCompactProtocol.Factory()).deserialize(attempt, body);
          attempt(attempt, new Exchange(request, response, callback));
        } else {
          CancelRequest cancel = new CancelRequest();
          new TDeserializer(new TCompactProtocol.Factory()).deserialize(cancel, body);
          cancel(cancel, new Exchange(request, response, callback));
        }
      } catch (PlannedDisconnectException e) {
        request.getConnectionMetaData().getConnection().getEndPoint().close();
        callback.failed(e);
      } catch (IOException e) {
        callback.failed(e);
      }
      return true;
    }

    private void attempt(AttemptRequest attempt, Exchange exchange) throws Exception {
      if (keepRequests) {
        receivedRequests.add(attempt);
      }
      String id = attempt.getAttemptId();
      Run run = runs.get(id);
      if (run == null && attempt.isAttachOnly()) {
        exchange.refuse(id, RefusalReason.UNKNOWN_ATTEMPT);
        return;
      }
      if (run == null) {
        run = startRun(attempt, exchange);
        if (run == null) {
          return;
        }
      }
      boolean first = run.connections().incrementAndGet() == 1;
      running.incrementAndGet();
      maxRunning.accumulateAndGet(running.get(), Math::max);
      try {
        new ResponseSender(attempt, run.response(), first ? run.fault() : Fault.NONE, exchange)
            .send();
      } finally {
        running.decrementAndGet();
        if (!keepRequests) {
          runs.remove(id);
        }
      }
    }

    private Run startRun(AttemptRequest attempt, Exchange exchange) throws Exception {
      PlannedFault plan = plannedFaults.poll();
      plan = plan == null ? defaultFault : plan;
      if (plan.fault() == Fault.REFUSE) {
        exchange.refuse(attempt.getAttemptId(), plan.reason());
        return null;
      }
      if (plan.fault() == Fault.LOSE_REQUEST) {
        throw new PlannedDisconnectException();
      }
      if (plan.fault() == Fault.SERVER_STOPS) {
        exchange.endWithStatus(503);
        return null;
      }
      startedAttempts.incrementAndGet();
      if (attempt.isSetAdapter() && attempt.getRoute() != Route.SERVICE) {
        resident.add(attempt.getAdapter() + "@" + attempt.getVersion());
      }
      Run run = new Run(responder.apply(attempt), plan.fault(), new AtomicInteger());
      runs.put(attempt.getAttemptId(), run);
      return run;
    }

    private void cancel(CancelRequest cancel, Exchange exchange) throws Exception {
      cancellations.add(cancel);
      boolean known = runs.containsKey(cancel.getAttemptId());
      Outcome outcome = known ? Outcome.UNKNOWN : Outcome.NOT_RUN;
      exchange.write(
          new TSerializer(new TCompactProtocol.Factory())
              .serialize(new CancelReply(cancel.getAttemptId(), outcome).setReport(report())));
      exchange.end();
    }
  }

  /** Sends one response, with at most one fault. */
  private final class ResponseSender {

    private final AttemptRequest attempt;
    private final EndpointResponse response;
    private final Fault fault;
    private final Exchange exchange;
    private long offset;

    ResponseSender(
        AttemptRequest attempt, EndpointResponse response, Fault fault, Exchange exchange) {
      this.attempt = attempt;
      this.response = response;
      this.fault = fault;
      this.exchange = exchange;
    }

    void send() throws Exception {
      String id = attempt.getAttemptId();
      if (fault == Fault.CLOSE_BEFORE_HEAD) {
        throw new PlannedDisconnectException();
      }
      if (fault == Fault.SILENT_BEFORE_HEAD) {
        exchange.waitUntilClosed(id, false);
      }
      if (fault == Fault.BEATS_ONLY) {
        exchange.waitUntilClosed(id, true);
      }
      FrameHead head = new FrameHead(response.status(), bootId).setHeaders(response.headers());
      exchange.sendFrame(id, FrameBody.head(head));
      int half = (response.parts().size() + 1) / 2;
      for (int i = 0; i < response.parts().size(); i++) {
        if (i == half || response.parts().size() == 1) {
          applyHalfwayFault(id);
        }
        pauseWithHeartbeats(id);
        sendPart(response.parts().get(i), i >= half);
      }
      FrameEnd end = new FrameEnd(response.totalBytes(), response.tokensUsed());
      exchange.sendFrame(id, FrameBody.finish(end.setReport(report())));
      exchange.end();
    }

    private void sendPart(byte[] bytes, boolean secondHalf) throws Exception {
      int skip = (int) Math.min(bytes.length, Math.max(0, attempt.getResumeOffset() - offset));
      if (skip < bytes.length && !(fault == Fault.WRONG_TOTAL && secondHalf)) {
        long sent = offset + skip;
        sent = fault == Fault.WRONG_OFFSET && secondHalf ? 0 : sent;
        String id = fault == Fault.WRONG_ATTEMPT ? "another-attempt" : attempt.getAttemptId();
        boolean corrupt = fault == Fault.WRONG_ATTEMPT || sent == 0 && secondHalf;
        byte[] payload = corrupt ? new byte[bytes.length] : bytes;
        ByteBuffer data = ByteBuffer.wrap(payload, skip, bytes.length - skip).slice();
        exchange.sendFrame(id, FrameBody.data(new FrameData(sent, data)));
      }
      offset += bytes.length;
    }

    private void pauseWithHeartbeats(String id) throws Exception {
      long left = response.pauseMillis();
      while (left > HEARTBEAT_MILLIS) {
        Thread.sleep(HEARTBEAT_MILLIS);
        left -= HEARTBEAT_MILLIS;
        exchange.sendFrame(id, FrameBody.beat(new FrameBeat(0)));
      }
      if (left > 0) {
        Thread.sleep(left);
      }
    }

    private void applyHalfwayFault(String id) throws Exception {
      switch (fault) {
        case SILENT_HALFWAY -> exchange.waitUntilClosed(id, false);
        case CUT_HALFWAY -> throw new PlannedDisconnectException();
        case FORGET_HALFWAY -> {
          runs.remove(id);
          throw new PlannedDisconnectException();
        }
        case END_HALFWAY -> {
          exchange.end();
          throw new IOException("injected fault: response ended halfway");
        }
        case CRASH -> {
          FrameFailure failure = new FrameFailure(Outcome.UNKNOWN, "the engine restarted");
          bootId = "boot-" + (startedAttempts.get() + 1);
          failure.setEndpointCrashed(true).setReport(report());
          exchange.sendFrame(id, FrameBody.failure(failure));
          exchange.end();
          throw new IOException("injected fault: engine crash");
        }
        default -> {
          return;
        }
      }
    }
  }

  /** One HTTP request with its response stream. */
  private final class Exchange {

    private final Request request;
    private final Response response;
    private final OutputStream out;
    private final Callback callback;

    Exchange(Request request, Response response, Callback callback) {
      this.request = request;
      this.response = response;
      this.callback = callback;
      response.getHeaders().put("Content-Type", "application/vnd.apache.thrift.compact");
      this.out = Content.Sink.asOutputStream(response);
    }

    void sendFrame(String attemptId, FrameBody body) throws IOException, TException {
      write(
          new TSerializer(new TCompactProtocol.Factory())
              .serialize(new AttemptFrame(attemptId, body)));
      if (!body.isSetHead()) {
        out.flush();
      }
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
    }

    void refuse(String attemptId, RefusalReason reason) throws IOException, TException {
      FrameRefusal refusal = new FrameRefusal(reason, Outcome.NOT_RUN).setReport(report());
      sendFrame(attemptId, FrameBody.refusal(refusal));
      end();
    }

    void end() throws IOException {
      out.close();
      callback.succeeded();
    }

    void endWithStatus(int status) throws IOException {
      response.setStatus(status);
      end();
    }

    void waitUntilClosed(String id, boolean heartbeats) throws IOException, TException {
      out.flush();
      try {
        while (server.isRunning() && request.getConnectionMetaData().getConnection() != null) {
          Thread.sleep(HEARTBEAT_MILLIS);
          if (heartbeats) {
            sendFrame(id, FrameBody.beat(new FrameBeat(1)));
          }
          if (!request.getConnectionMetaData().getConnection().getEndPoint().isOpen()
              || cancellations.stream().anyMatch(cancel -> cancel.getAttemptId().equals(id))) {
            break;
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      throw new PlannedDisconnectException();
    }
  }

  private final class TrafficRecorder implements NetworkTrafficListener {

    @Override
    public void incoming(Socket socket, ByteBuffer bytes) {
      if (!recordTraffic) {
        return;
      }
      byte[] copy = new byte[bytes.remaining()];
      bytes.duplicate().get(copy);
      synchronized (traffic) {
        if (traffic.size() < MAX_RECORDED_BYTES) {
          traffic.writeBytes(copy);
        }
      }
    }
  }

  private static final class PlannedDisconnectException extends IOException {

    private static final long serialVersionUID = 1L;

    PlannedDisconnectException() {
      super("injected fault: connection closed");
    }
  }
}
