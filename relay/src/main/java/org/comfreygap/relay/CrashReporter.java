package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailable;
import org.comfreygap.runtime.DutyThread;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Tells control which requests were at an endpoint when it crashed, so that one that crashes every
 * endpoint it reaches is found by all gateways together.
 *
 * <p>An endpoint counts as crashed when requests broke off and its address refuses connections soon
 * after. Requests without a body are left out: many innocent ones are equal.
 *
 * <p>Invariant: a crash is named by the start of the endpoint that ended, so that reports of
 * several gateways are one. Thread safety: used on the event loop only, but for the duty that calls
 * control.
 */
final class CrashReporter implements AutoCloseable {

  /** A process that crashed refuses connections at once; one that restarts takes seconds. */
  static final Duration CHECK_AFTER = Duration.ofMillis(60);

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(2_000);
  private static final int MAX_OPEN = 64;
  private static final int MAX_FINGERPRINTS = 500;
  private static final int FINGERPRINT_BYTES = 16;
  // A line of the log stays readable with so many.
  private static final int MAX_SHOWN = 20;

  private final EventLoop loop;
  private final ControlClient control;
  private final EventLog events;
  private final RelayMetrics metrics;
  private final String gatewayId;
  private final Map<Endpoint, Set<String>> suspects = new HashMap<>();
  private final BlockingQueue<CrashReport> outgoing = new ArrayBlockingQueue<>(MAX_OPEN);
  private final DutyThread duty;

  CrashReporter(
      EventLoop loop,
      ControlClient control,
      EventLog events,
      RelayMetrics metrics,
      String gatewayId) {
    this.loop = loop;
    this.control = control;
    this.events = events;
    this.metrics = metrics;
    this.gatewayId = gatewayId;
    this.duty = DutyThread.continuous("crash-reports", this::reportNext);
  }

  /** Returns what equal requests of one customer have in common. */
  static String fingerprint(String customer, HttpRequest head, ByteBuf body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      String line = customer + "\n" + head.method() + " " + head.uri() + "\n";
      digest.update(line.getBytes(StandardCharsets.UTF_8));
      digest.update(body.nioBuffer());
      return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }

  /** A request broke off at an endpoint. */
  void broken(Endpoint endpoint, String fingerprint) {
    Set<String> open = suspects.get(endpoint);
    if (open == null) {
      open = new LinkedHashSet<>();
      suspects.put(endpoint, open);
      loop.schedule(() -> check(endpoint), CHECK_AFTER.toMillis(), TimeUnit.MILLISECONDS);
    }
    if (open.size() < MAX_FINGERPRINTS) {
      open.add(fingerprint);
    }
  }

  @Override
  public void close() {
    duty.close();
  }

  private void check(Endpoint endpoint) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .handler(new ChannelInboundHandlerAdapter())
        .connect(Addresses.parse(endpoint.address()))
        .addListener((ChannelFuture done) -> checked(endpoint, done));
  }

  private void checked(Endpoint endpoint, ChannelFuture connection) {
    Set<String> open = suspects.remove(endpoint);
    connection.channel().close();
    boolean refused = connection.cause() instanceof ConnectException;
    metrics.count("crashes.checked", refused ? "refused" : "not-refused");
    if (!refused) {
      events.record(
          RelayEvent.CRASH_NOT_SEEN,
          Field.of("endpoint", endpoint.instanceId()),
          Field.of("suspects", open.size()),
          Field.of("fingerprints", shown(open)),
          Field.of("connection", connection.isSuccess() ? "accepted" : connection.cause()));
      return;
    }
    CrashReport report =
        new CrashReport(
            endpoint.instanceId(), endpoint.instanceId(), new ArrayList<>(open), gatewayId);
    if (!outgoing.offer(report)) {
      metrics.count("crash.reports", "dropped");
      events.record(
          RelayEvent.CRASH_NOT_REPORTED,
          Field.of("endpoint", endpoint.instanceId()),
          Field.of("cause", "too many reports are open"));
    }
  }

  /** Returns the first fingerprints, for the log. */
  private static List<String> shown(Collection<String> fingerprints) {
    return fingerprints.stream().limit(MAX_SHOWN).toList();
  }

  /** Runs on the duty's thread. */
  private void reportNext() throws InterruptedException {
    CrashReport report = outgoing.take();
    try {
      control.callLeader(CALL_TIMEOUT, client -> client.reportCrash(report));
      events.record(
          RelayEvent.CRASH_REPORTED,
          Field.of("endpoint", report.getEndpoint()),
          Field.of("suspects", report.getFingerprintsSize()),
          Field.of("fingerprints", shown(report.getFingerprints())));
    } catch (ControlUnavailable e) {
      events.record(
          RelayEvent.CRASH_NOT_REPORTED,
          Field.of("endpoint", report.getEndpoint()),
          Field.of("cause", e.getMessage()));
    }
  }
}
