package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.comfreygap.decisions.EndpointSuspects;
import org.comfreygap.decisions.PartQuarantine;
import org.comfreygap.decisions.RecentSuccesses;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.decisions.SuspectRequest;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.CrashReports;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.PartReports;

/**
 * Finds the requests that were at an endpoint when it crashed, reports them to control, and looks
 * up quarantined requests, so that all gateways together stop a request that crashes every endpoint
 * it reaches.
 *
 * <p>A request that was sent and ended without a complete response is a suspect until the endpoint
 * responds again. An endpoint has ended when its address refuses connections, when another start of
 * it responds or reports, or when the list no longer contains it although it was not leaving.
 *
 * <p>Invariant: all suspects of one crash carry the same time, so that the reports of several
 * gateways count as one crash. Thread safety: used on the event loop only, except for the callbacks
 * of reports.
 */
final class CrashDetector implements AutoCloseable {

  /**
   * Delay of the address check: a crashed process refuses connections at once, and a restart takes
   * seconds.
   */
  static final Duration CHECK_DELAY = Duration.ofMillis(60);

  private static final String UNKNOWN_START = "";
  // More than a gateway serves within the retention time under ordinary load.
  private static final int SERVED_CAPACITY = 4_000;
  private static final int FINGERPRINT_BYTES = 16;
  // Keeps a log line readable.
  private static final int MAX_LOGGED_IDS = 20;

  private final EventLoop loop;
  private final EventLog events;
  private final RelayMetrics metrics;
  private final Supplier<Optional<MembershipAgent>> agent;
  private final CrashReports reports;
  private final PartReports partReports;
  private final RecentSuccesses served = new RecentSuccesses(SERVED_CAPACITY);
  private final Set<Endpoint> pendingChecks = new HashSet<>();

  /**
   * Creates a detector.
   *
   * @param agent source of the requests that control has quarantined; empty until the gateway has
   *     joined
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
    this.partReports =
        PartReports.start(
            control,
            gatewayId,
            () -> agent.get().map(MembershipAgent::watchedParts).orElse(Set.of()),
            cause -> events.record(RelayEvent.BEGAN_NOT_REPORTED, Field.of("cause", cause)));
  }

  /** How the end of an endpoint was detected. */
  enum Detection {
    REFUSES_CONNECTIONS,
    NEW_START,
    NOT_LISTED;

    String label() {
      return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  /** Returns a hash that is the same for equal requests of one customer. */
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

  /**
   * Records that a request was interrupted after it was sent to an endpoint.
   *
   * @param begun true when a complete event of its response was received
   */
  void requestInterrupted(Endpoint endpoint, SuspectRequest request, boolean begun) {
    endpoint.suspects().connectionClosed(request, begun, System.nanoTime());
    scheduleCheck(endpoint);
  }

  /** Records that the gateway cancelled an attempt after inactivity or an invalid response. */
  void requestDropped(Endpoint endpoint, SuspectRequest request, boolean begun) {
    endpoint.suspects().abandoned(request, begun, System.nanoTime());
    scheduleCheck(endpoint);
  }

  /** Records that a request sent to an endpoint timed out or was abandoned by its caller. */
  void requestAbandoned(Endpoint endpoint, SuspectRequest request, boolean begun) {
    endpoint.suspects().abandoned(request, begun, System.nanoTime());
    endpoint.endedBy().ifPresent(detection -> endpointEnded(endpoint, detection));
  }

  /** Records that a request succeeded; equal requests are no suspects for some time. */
  void requestServed(String fingerprint) {
    served.recordSuccess(fingerprint, System.nanoTime());
  }

  /** Records that a response began, so that the parts of its prompt are less suspected. */
  void responseBegan(List<String> parts) {
    if (!parts.isEmpty()) {
      long now = System.nanoTime();
      partReports.began(parts, now);
      reports.began(parts, now);
    }
  }

  /** Reports the suspects of a start of an endpoint that has ended. */
  void endpointEnded(Endpoint endpoint, Detection detection) {
    long now = System.nanoTime();
    long at = endpoint.markEnded(detection, now);
    EndpointSuspects.Ended ended = endpoint.suspects().removeAll(now);
    if (ended.suspects().size() + ended.begun() == 0 || endpoint.isLeaving(now)) {
      return;
    }
    List<SuspectRequest> suspects =
        ended.suspects().stream()
            .filter(request -> !served.contains(request.fingerprint(), now))
            .toList();
    List<String> fingerprints = suspects.stream().map(SuspectRequest::fingerprint).toList();
    metrics.count("crashes", detection.label());
    events.record(
        RelayEvent.ENDPOINT_CRASHED,
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("address", endpoint.address()),
        Field.of("sign", detection.label()),
        Field.of("millisAgo", TimeUnit.NANOSECONDS.toMillis(now - at)),
        Field.of("suspects", suspects.size()),
        Field.of("servedLately", ended.suspects().size() - suspects.size()),
        Field.of("begun", ended.begun()),
        Field.of("fingerprints", firstLogged(fingerprints)),
        Field.of("parts", firstLogged(partsOf(suspects))));
    if (!suspects.isEmpty()) {
      // Not every gateway knows the start id, and one start must not be reported under two ids.
      Map<String, Integer> began = partReports.recent(partsOf(suspects), now);
      reports.add(endpoint.instanceId(), UNKNOWN_START, suspects, began, at);
    }
  }

  /**
   * Returns the time left of a request's quarantine, or empty when it is not quarantined.
   *
   * @param fingerprint called only while any request is quarantined
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

  /**
   * Returns true when a request may have crashed one of the endpoints, by what is known here, or
   * control watches a part of its prompt.
   */
  boolean isSuspect(SuspectRequest request, Collection<Endpoint> endpoints, long nowNanos) {
    Set<String> watched = agent.get().map(MembershipAgent::watchedParts).orElse(Set.of());
    if (request.parts().stream().anyMatch(watched::contains)) {
      return true;
    }
    String fingerprint = request.fingerprint();
    return !served.contains(fingerprint, nowNanos)
        && endpoints.stream().anyMatch(one -> one.suspects().contains(fingerprint, nowNanos));
  }

  /** Returns a ban in effect of which a prompt with the given parts holds all parts. */
  Optional<PartQuarantine.Ban> partBan(List<String> parts, long nowNanos) {
    if (parts.isEmpty()) {
      return Optional.empty();
    }
    Optional<MembershipAgent> joined = agent.get();
    Optional<PartQuarantine.Ban> known =
        joined.isPresent() ? joined.get().partBans().find(parts, nowNanos) : Optional.empty();
    return known.isPresent() ? known : reports.partBans(nowNanos).find(parts, nowNanos);
  }

  /** Returns the number of bans of parts of prompts that this gateway knows. */
  int partBanCount() {
    return agent.get().map(joined -> joined.partBans().all().size()).orElse(0);
  }

  @Override
  public void close() {
    partReports.close();
    reports.close();
  }

  private void scheduleCheck(Endpoint endpoint) {
    if (endpoint.endedBy().isPresent()) {
      endpointEnded(endpoint, endpoint.endedBy().get());
    } else if (pendingChecks.add(endpoint)) {
      LoopTasks.schedule(loop, events, "crash-check", CHECK_DELAY, () -> checkAddress(endpoint));
    }
  }

  private void checkAddress(Endpoint endpoint) {
    EndpointProbe.check(
        loop,
        endpoint.address(),
        ConnectionPool.CONNECT_TIMEOUT,
        result -> addressChecked(endpoint, result));
  }

  private void addressChecked(Endpoint endpoint, EndpointProbe.Result result) {
    pendingChecks.remove(endpoint);
    boolean refused = result.state() == ResponseEnd.Endpoint.REFUSES;
    metrics.count("crashes.checked", refused ? "refused" : "not-refused");
    if (refused) {
      endpointEnded(endpoint, Detection.REFUSES_CONNECTIONS);
      return;
    }
    events.record(
        RelayEvent.CRASH_NOT_SEEN,
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("connection", result.detail()));
  }

  private void reportDelivered(CrashReport report) {
    loop.execute(() -> metrics.count("crash.reports", "delivered"));
    events.record(
        RelayEvent.CRASH_REPORTED,
        Field.of("endpoint", report.getEndpoint()),
        Field.of("millisAgo", report.getCrashedMillisAgo()),
        Field.of("suspects", report.getFingerprintsSize()),
        Field.of("fingerprints", firstLogged(report.getFingerprints())));
  }

  private void reportFailed(CrashReport report, String cause) {
    loop.execute(() -> metrics.count("crash.reports", "not-delivered"));
    events.record(
        RelayEvent.CRASH_NOT_REPORTED,
        Field.of("endpoint", report.getEndpoint()),
        Field.of("cause", cause));
  }

  private static Set<String> partsOf(List<SuspectRequest> requests) {
    Set<String> parts = new LinkedHashSet<>();
    requests.forEach(request -> parts.addAll(request.parts()));
    return parts;
  }

  private static List<String> firstLogged(Collection<String> ids) {
    return ids.stream().limit(MAX_LOGGED_IDS).toList();
  }
}
