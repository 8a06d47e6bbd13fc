package org.comfreygap.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.comfreygap.decisions.RecentSuccesses;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.CrashReports;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;

/**
 * Finds which requests were at an endpoint when it crashed, tells control, and tells which requests
 * are quarantined, so that one that crashes every endpoint it reaches is stopped by all gateways
 * together.
 *
 * <p>Every request that was sent and ended without its whole answer is a suspect, until the
 * endpoint is heard from again. The endpoint has ended when its address refuses connections, when
 * another start of it answers or reports, or when the list no longer shows it although it was not
 * leaving.
 *
 * <p>Invariant: all suspects of one end carry the same time, so that reports of several gateways
 * are one crash. Thread safety: used on the event loop only, but for the listeners of reports.
 */
final class CrashDetector implements AutoCloseable {

  /** A process that crashed refuses connections at once; one that restarts takes seconds. */
  static final Duration CHECK_DELAY = Duration.ofMillis(60);

  private static final String UNKNOWN_START = "";
  // More than a gateway serves in the memory's time on an ordinary day.
  private static final int SERVED_CAPACITY = 4_000;
  private static final int FINGERPRINT_BYTES = 16;
  // A line of the log stays readable with so many.
  private static final int MAX_LOGGED_FINGERPRINTS = 20;

  private final EventLoop loop;
  private final EventLog events;
  private final RelayMetrics metrics;
  private final Supplier<Optional<MembershipAgent>> agent;
  private final CrashReports reports;
  private final RecentSuccesses served = new RecentSuccesses(SERVED_CAPACITY);
  private final Set<Endpoint> pendingChecks = new HashSet<>();

  /**
   * Creates a watch.
   *
   * @param agent knows what control has quarantined; empty until the gateway has joined
   */
  CrashDetector(
      EventLoop loop,
      ControlClient control,
      EventLog events,
      RelayMetrics metrics,
      String gatewayId,
      Supplier<Optional<MembershipAgent>> agent) {
    this.loop = loop;
    this.events = events;
    this.metrics = metrics;
    this.agent = agent;
    this.reports =
        CrashReports.start(control, gatewayId, this::reportDelivered, this::reportFailed);
  }

  /** By what an endpoint is known to have ended. */
  enum Detection {
    REFUSES_CONNECTIONS,
    NEW_START,
    NOT_LISTED;

    String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
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

  /** A request that was sent to an endpoint broke off there. */
  void requestInterrupted(Endpoint endpoint, String fingerprint) {
    endpoint.suspects().connectionClosed(fingerprint, System.nanoTime());
    scheduleCheck(endpoint);
  }

  /** The gateway dropped a request at its endpoint: nothing came for long, or no proper answer. */
  void requestDropped(Endpoint endpoint, String fingerprint) {
    endpoint.suspects().abandoned(fingerprint, System.nanoTime());
    scheduleCheck(endpoint);
  }

  /** A request that was sent to an endpoint ended by its time or its caller. */
  void requestAbandoned(Endpoint endpoint, String fingerprint) {
    endpoint.suspects().abandoned(fingerprint, System.nanoTime());
    endpoint.endedBy().ifPresent(sign -> endpointEnded(endpoint, sign));
  }

  /** A request was answered well: an equal one does not crash endpoints. */
  void served(String fingerprint) {
    served.recordSuccess(fingerprint, System.nanoTime());
  }

  /** A start of an endpoint has ended. */
  void endpointEnded(Endpoint endpoint, Detection sign) {
    long now = System.nanoTime();
    long at = endpoint.markEnded(sign, now);
    List<String> taken = endpoint.suspects().removeAll(now);
    if (taken.isEmpty() || endpoint.isLeaving(now)) {
      return;
    }
    List<String> suspects =
        taken.stream().filter(fingerprint -> !served.contains(fingerprint, now)).toList();
    metrics.count("crashes", sign.label());
    events.record(
        RelayEvent.ENDPOINT_CRASHED,
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("address", endpoint.address()),
        Field.of("sign", sign.label()),
        Field.of("millisAgo", TimeUnit.NANOSECONDS.toMillis(now - at)),
        Field.of("suspects", suspects.size()),
        Field.of("servedLately", taken.size() - suspects.size()),
        Field.of("fingerprints", firstFingerprints(suspects)));
    if (!suspects.isEmpty()) {
      // Not every gateway knows the start, and it must not have two names.
      reports.add(endpoint.instanceId(), UNKNOWN_START, suspects, at);
    }
  }

  /**
   * Returns how long a request is quarantined; empty when it is not.
   *
   * @param fingerprint asked only while any request is quarantined
   */
  Optional<Duration> quarantineLeft(Supplier<String> fingerprint, long nowNanos) {
    Optional<MembershipAgent> joined = agent.get().filter(MembershipAgent::anyQuarantined);
    if (joined.isEmpty() && !reports.anyQuarantined()) {
      return Optional.empty();
    }
    String given = fingerprint.get();
    return Stream.concat(
            joined.flatMap(known -> known.quarantineLeft(given, nowNanos)).stream(),
            reports.quarantineLeft(given, nowNanos).stream())
        .max(Duration::compareTo);
  }

  @Override
  public void close() {
    reports.close();
  }

  private void scheduleCheck(Endpoint endpoint) {
    if (endpoint.endedBy().isPresent()) {
      endpointEnded(endpoint, endpoint.endedBy().get());
    } else if (pendingChecks.add(endpoint)) {
      loop.schedule(() -> checkAddress(endpoint), CHECK_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void checkAddress(Endpoint endpoint) {
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ConnectionPool.CONNECT_TIMEOUT.toMillis())
        .handler(new ChannelInboundHandlerAdapter())
        .connect(Addresses.parse(endpoint.address()))
        .addListener((ChannelFuture done) -> addressChecked(endpoint, done));
  }

  private void addressChecked(Endpoint endpoint, ChannelFuture connection) {
    pendingChecks.remove(endpoint);
    connection.channel().close();
    Throwable cause = connection.cause();
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    metrics.count("crashes.checked", refused ? "refused" : "not-refused");
    if (refused) {
      endpointEnded(endpoint, Detection.REFUSES_CONNECTIONS);
      return;
    }
    events.record(
        RelayEvent.CRASH_NOT_SEEN,
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("connection", connection.isSuccess() ? "accepted" : String.valueOf(cause)));
  }

  private void reportDelivered(CrashReport report) {
    loop.execute(() -> metrics.count("crash.reports", "delivered"));
    events.record(
        RelayEvent.CRASH_REPORTED,
        Field.of("endpoint", report.getEndpoint()),
        Field.of("millisAgo", report.getCrashedMillisAgo()),
        Field.of("suspects", report.getFingerprintsSize()),
        Field.of("fingerprints", firstFingerprints(report.getFingerprints())));
  }

  private void reportFailed(CrashReport report, String cause) {
    loop.execute(() -> metrics.count("crash.reports", "not-delivered"));
    events.record(
        RelayEvent.CRASH_NOT_REPORTED,
        Field.of("endpoint", report.getEndpoint()),
        Field.of("cause", cause));
  }

  /** Returns the first fingerprints, for the log. */
  private static List<String> firstFingerprints(Collection<String> fingerprints) {
    return fingerprints.stream().limit(MAX_LOGGED_FINGERPRINTS).toList();
  }
}
