package org.comfreygap.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.EndpointHealth;
import org.comfreygap.decisions.EndpointLimit;
import org.comfreygap.decisions.EndpointSilence;
import org.comfreygap.decisions.EndpointSuspects;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ResidentAdapter;

/**
 * The state of one start of an endpoint as known to this gateway: from the platform's list, from
 * the sidecar beside it where there is one, and from the gateway's own requests.
 *
 * <p>Invariant: the sidecar's report of adapters takes precedence over the list's. Thread safety:
 * used on the event loop only.
 */
final class Endpoint {

  /** Age at which a status is stale, above the longest interval between two statuses. */
  static final long STATUS_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  private static final String START_PREFIX = "start:";

  // Slower endpoints get no higher penalty.
  private static final double MAX_SLOWDOWN = 8;
  private static final double LATENCY_WEIGHT = 0.1;
  // Averages about the last 100 parts, which a few streams produce in two seconds.
  private static final double PART_INTERVAL_WEIGHT = 0.01;
  // Averages about the last 20 attempts, which one gateway sends to an endpoint in a few seconds.
  private static final double RESULT_WEIGHT = 0.05;

  private final String instanceId;
  private final String address;
  private final String zone;
  private final long hash;
  private final ConnectionPool connections;
  private final EndpointHealth health = new EndpointHealth();
  private final EndpointSilence silence = new EndpointSilence();
  private final Set<AdapterSlots.Name> absent = new HashSet<>();
  private ListedEndpoint listed;
  private Optional<SidecarConnection> sidecar = Optional.empty();
  private Optional<EndpointStatus> status = Optional.empty();
  private Map<AdapterSlots.Name, Long> resident = new HashMap<>();
  private long statusNanos;
  private long listedNanos;
  private int inFlight;
  private int notBegun;
  private int sentSinceStatus;
  private Optional<ResponseHead.ReportedLoad> reportedLoad = Optional.empty();
  private long loadReportedNanos;
  private double latencyMillis;
  private double failureRate;
  private double partIntervalMillis;
  private final EndpointLimit limit = new EndpointLimit();
  private final EndpointReading reading = new EndpointReading();
  private long nextSendNanos;
  private final EndpointSuspects suspects = new EndpointSuspects();
  private OptionalLong bornMillis = OptionalLong.empty();
  private Optional<CrashDetector.Detection> endedBy = Optional.empty();
  private long endedNanos;
  private boolean superseded;
  private boolean gone;

  Endpoint(ListedEndpoint listed, ConnectionPool connections, long nowNanos) {
    this.instanceId = listed.instanceId();
    this.address = listed.address();
    this.zone = listed.zone();
    this.hash = AdapterHomes.hash(listed.instanceId());
    this.connections = connections;
    this.nextSendNanos = nowNanos;
    updateListing(listed, nowNanos);
  }

  String instanceId() {
    return instanceId;
  }

  String address() {
    return address;
  }

  /** Returns the host part of the address, which the endpoints of one instance share. */
  String host() {
    return address.substring(0, Math.max(0, address.lastIndexOf(':')));
  }

  String zone() {
    return zone;
  }

  String pool() {
    return listed.pool();
  }

  /** Returns the version of the endpoint's software, where the list states it. */
  Optional<String> version() {
    return listed.version();
  }

  /**
   * Returns the origin of the streams that begin here; without a version it is this start alone.
   */
  Origin origin() {
    return new Origin(pool(), version().orElse(START_PREFIX + instanceId));
  }

  /** Returns true when a stream that began at {@code origin} may go on here. */
  boolean isAt(Origin origin) {
    boolean sameStart = origin.version().equals(START_PREFIX + instanceId);
    return origin.pool().equals(pool())
        && (sameStart || version().filter(origin.version()::equals).isPresent());
  }

  long hash() {
    return hash;
  }

  ConnectionPool connections() {
    return connections;
  }

  EndpointHealth health() {
    return health;
  }

  /** Returns what tells whether the endpoint is suspended. */
  EndpointSilence silence() {
    return silence;
  }

  Optional<SidecarConnection> sidecar() {
    return sidecar;
  }

  void sidecar(SidecarConnection opened) {
    sidecar = Optional.of(opened);
  }

  void updateListing(ListedEndpoint entry, long nowNanos) {
    listed = entry;
    listedNanos = nowNanos;
    absent.removeIf(name -> !entry.adapters().containsKey(name));
  }

  /** Records that the list no longer contains the endpoint. */
  void markGone() {
    gone = true;
  }

  boolean isGone() {
    return gone;
  }

  /** Returns the requests that may have crashed the endpoint. */
  EndpointSuspects suspects() {
    return suspects;
  }

  /**
   * Records that this start has ended; the first detection counts until the endpoint responds
   * again.
   *
   * @return time of the end, by this machine's monotonic clock
   */
  long markEnded(CrashDetector.Detection detection, long nowNanos) {
    if (endedBy.isEmpty()) {
      endedBy = Optional.of(detection);
      endedNanos = nowNanos;
    }
    return endedNanos;
  }

  /** Returns how the end of this start was detected; empty while it runs. */
  Optional<CrashDetector.Detection> endedBy() {
    return endedBy;
  }

  /**
   * Records an open connection, which shows that the endpoint is back under its id, unless it was
   * superseded or is no longer listed.
   */
  void connectionOpened() {
    endedBy = endedBy.filter(detection -> superseded || gone);
  }

  /** Records that a part of a response was received. */
  void responseReceived(long nowNanos) {
    suspects.responseReceived(nowNanos);
    silence.responseReceived(nowNanos);
    // Data in flight at the end may still arrive.
    if (endedBy.isPresent() && nowNanos - endedNanos > EndpointSuspects.IN_TRANSIT_TIME.toNanos()) {
      endedBy = Optional.empty();
    }
  }

  /** Returns true when another start of the endpoint has its address. */
  boolean isSuperseded() {
    return superseded;
  }

  /**
   * Applies a status of the sidecar; one of another start of the endpoint is not applied.
   *
   * @return true when it shows that this start has ended
   */
  boolean updateStatus(EndpointStatus newest, long nowNanos) {
    if (!newest.getInstanceId().equals(instanceId)) {
      superseded |= newest.isAnswering();
      return newest.isAnswering();
    }
    boolean startedAgain =
        bornMillis.isPresent() && bornMillis.getAsLong() != newest.getBornMillis();
    bornMillis = OptionalLong.of(newest.getBornMillis());
    if (startedAgain) {
      limit.restarted();
    }
    status = Optional.of(newest);
    statusNanos = nowNanos;
    silence.reportReceived(nowNanos);
    sentSinceStatus = 0;
    if (!newest.isSetPacePercent()) {
      reading.paceWithdrawn();
    }
    if (newest.isSetPacePercent()) {
      reading.paceStated(newest.getPacePercent(), newest.getPaceMillisAgo(), nowNanos);
      reading.readingStated(newest.getReadingMicros(), nowNanos);
      if (newest.isSetUsualPacePercent()) {
        reading.pace().usualStated(newest.getUsualPacePercent());
      }
    }
    if (newest.isSetResident()) {
      Map<AdapterSlots.Name, Long> held = new HashMap<>();
      for (ResidentAdapter one : newest.getResident()) {
        held.put(new AdapterSlots.Name(one.getModel(), one.getAdapter()), one.getVersion());
      }
      resident = held;
      absent.clear();
    }
    return startedAgain;
  }

  /** Records that another start of an endpoint has the address now; the list follows later. */
  void markSuperseded() {
    superseded = true;
  }

  /** Drops the sidecar's status, as its connection ended. */
  void sidecarLost() {
    status = Optional.empty();
    resident = new HashMap<>();
    reading.sidecarLost();
    silence.connectionEnded();
  }

  /** Returns true when new requests may be sent here. */
  boolean acceptsRequests(long nowNanos) {
    boolean answering = freshStatus(nowNanos).map(EndpointStatus::isAnswering).orElse(true);
    return !gone
        && !superseded
        && !isLeaving(nowNanos)
        && answering
        && !silence.holdsBack(nowNanos)
        && health.usable(nowNanos);
  }

  /**
   * Returns true when this endpoint may end as soon as its last response is complete, as the list
   * states.
   */
  boolean mayEndAfterResponse() {
    return listed.departure() == ListedEndpoint.Departure.AFTER_ITS_REQUESTS;
  }

  /** Returns true when this endpoint ends at a set time, whatever it runs then. */
  boolean endsAtDeadline() {
    return listed.departure() == ListedEndpoint.Departure.AT_A_DEADLINE;
  }

  boolean isLeaving(long nowNanos) {
    return listed.leaving() || freshStatus(nowNanos).map(EndpointStatus::isLeaving).orElse(false);
  }

  /** Returns true when the endpoint is cold, as far as this gateway knows. */
  boolean isCold(long nowNanos) {
    return coldMillis(nowNanos) > 0;
  }

  /** Returns the remaining cold time: the longer of those stated by the list and the sidecar. */
  long coldMillis(long nowNanos) {
    long listedLeft = listed.coldMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - listedNanos);
    long stated = freshStatus(nowNanos).map(EndpointStatus::getColdMillis).orElse(0L);
    long statedLeft = stated - TimeUnit.NANOSECONDS.toMillis(nowNanos - statusNanos);
    return Math.max(0, Math.max(listedLeft, stated > 0 ? statedLeft : 0));
  }

  /** Returns whether the base model is loaded, by the status or, without one, by the list. */
  boolean holdsModel(String model, long nowNanos) {
    return freshStatus(nowNanos)
        .map(known -> known.getModels().contains(model))
        .orElseGet(() -> listed.models().contains(model));
  }

  Residency residency(AdapterSlots.Name name, long minVersion) {
    Map<AdapterSlots.Name, Long> held = status.isPresent() ? resident : listed.adapters();
    Long version = absent.contains(name) ? null : held.get(name);
    if (version != null && version >= minVersion) {
      return Residency.HELD;
    }
    if (version != null) {
      return Residency.OUTDATED;
    }
    boolean asked = sidecar.isPresent() && sidecar.get().isRequested(name);
    return asked ? Residency.COMING : Residency.ABSENT;
  }

  /** Returns false when open requests use every adapter slot. */
  boolean canLoad(long nowNanos) {
    return freshStatus(nowNanos)
        .map(known -> !known.isSetLoadable() || known.getLoadable() > 0)
        .orElse(true);
  }

  /** Returns the version of a resident adapter, where it is known. */
  OptionalLong residentVersion(AdapterSlots.Name name) {
    Map<AdapterSlots.Name, Long> held = status.isPresent() ? resident : listed.adapters();
    Long version = held.get(name);
    // Right after a load only a minimum version is known; the next status states the version.
    return version == null || version <= 0 ? OptionalLong.empty() : OptionalLong.of(version);
  }

  /** Records that an adapter is absent, as a response showed. */
  void markAbsent(AdapterSlots.Name name) {
    absent.add(name);
    resident.remove(name);
  }

  /** Records that an adapter is resident, as the sidecar replied. */
  void markPresent(AdapterSlots.Name name, long version) {
    absent.remove(name);
    resident.put(name, version);
  }

  int slots() {
    return Math.max(1, listed.slots());
  }

  /** Returns the number of attempts of this gateway in progress here. */
  int inFlight() {
    return inFlight;
  }

  /** Returns the number of running requests, as far as this gateway knows. */
  int running(long nowNanos) {
    int begun = inFlight - notBegun;
    int known =
        freshStatus(nowNanos).map(EndpointStatus::getRunning).orElse(reportedRunning(nowNanos));
    return Math.max(begun, known);
  }

  /** Returns the number of requests without output yet, as far as this gateway knows. */
  int waiting(long nowNanos) {
    int known =
        freshStatus(nowNanos)
            .map(current -> current.getWaiting() + sentSinceStatus)
            .orElse(reportedWaiting(nowNanos));
    return Math.max(notBegun, known);
  }

  /** Returns the latency of plain requests as a multiple of the fastest endpoint's. */
  double slowdown(double fastestMillis) {
    return slowdownFactor(latencyMillis, fastestMillis);
  }

  /** Returns the interval between parts of streams as a multiple of the fastest engine's. */
  double streamSlowdown(double fastestMillis) {
    return slowdownFactor(partIntervalMillis, fastestMillis);
  }

  double latencyMillis() {
    return latencyMillis;
  }

  /** Records the interval between two parts of a response. */
  void recordPartInterval(double millis) {
    partIntervalMillis =
        partIntervalMillis == 0
            ? millis
            : partIntervalMillis + PART_INTERVAL_WEIGHT * (millis - partIntervalMillis);
  }

  /** Returns the average interval between two parts of a response; 0 when it is not known. */
  double partIntervalMillis() {
    return partIntervalMillis;
  }

  /** Returns the share of recent attempts here that were interrupted or failed. */
  double failureRate() {
    return failureRate;
  }

  /**
   * Records a failed attempt.
   *
   * @return true when the request must not be sent here again; false when only its adapter is
   *     absent
   */
  boolean recordFailure(Attempt.Failure failure, Optional<AdapterSlots.Name> adapter) {
    Optional<String> responding = failure.refusal().flatMap(ResponseHead::instanceId);
    responding.filter(id -> !id.equals(instanceId)).ifPresent(id -> markSuperseded());
    if (failure.outcome() != Outcome.NOT_RUN) {
      recordResult(false);
    }
    boolean misdirected =
        failure
            .refusal()
            .filter(refusal -> refusal.verdict() == ResponseHead.Verdict.MISDIRECTED)
            .isPresent();
    boolean lacksAdapter =
        misdirected && adapter.isPresent() && responding.filter(instanceId::equals).isPresent();
    if (lacksAdapter) {
      markAbsent(adapter.get());
    }
    return !lacksAdapter;
  }

  /** Records whether an attempt succeeded. */
  void recordResult(boolean succeeded) {
    failureRate += RESULT_WEIGHT * ((succeeded ? 0 : 1) - failureRate);
  }

  void attemptStarted() {
    inFlight++;
    notBegun++;
    sentSinceStatus++;
  }

  void responseBegun() {
    notBegun--;
  }

  void attemptEnded(boolean begun) {
    inFlight--;
    if (!begun) {
      notBegun--;
    }
  }

  void recordLoad(ResponseHead.ReportedLoad load, long nowNanos) {
    reportedLoad = Optional.of(load);
    loadReportedNanos = nowNanos;
    if (load.pacePercent().isPresent()) {
      reading.paceStated(load.pacePercent().getAsInt(), nowNanos);
      sidecar
          .filter(link -> reading.isGranted())
          .ifPresent(link -> link.paceSeen(load.pacePercent().getAsInt()));
    }
  }

  /** Returns the pace and the prompts in hand. */
  EndpointReading reading() {
    return reading;
  }

  /** Returns the request limit that the endpoint states. */
  EndpointLimit limit() {
    return limit;
  }

  /** Records the time until the request limit admits another send, as the limiter stated it. */
  void recordSendWait(long nanos, long nowNanos) {
    nextSendNanos = nowNanos + nanos;
  }

  /** Returns the time until the request limit admits another send, as far as is known. */
  long sendWaitNanos(long nowNanos) {
    return limit.isLimited() ? Math.max(0, nextSendNanos - nowNanos) : 0;
  }

  /** Returns the known load and the age of its sources, for the log. */
  String describe(long nowNanos) {
    return "running:"
        + running(nowNanos)
        + ",waiting:"
        + waiting(nowNanos)
        + ",slots:"
        + slots()
        + ",statusMillisAgo:"
        + (status.isPresent() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - statusNanos) : -1)
        + ",listMillisAgo:"
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - listedNanos)
        + (silence.isSilent() ? ",silent:true" : "")
        + ",cold:"
        + isCold(nowNanos)
        + (reading.pace().isKnown() ? reading.describe(nowNanos) : "")
        + (limit.isLimited() ? ",limit:" + limit.perSecond().getAsDouble() : "");
  }

  /** Records the latency of a plain request. */
  void recordLatency(double millis) {
    latencyMillis =
        latencyMillis == 0 ? millis : latencyMillis + LATENCY_WEIGHT * (millis - latencyMillis);
  }

  /** Records that a plain request that was given up had taken as long, if that is unusual. */
  void recordSlowness(double millis) {
    if (millis > latencyMillis) {
      recordLatency(millis);
    }
  }

  private static double slowdownFactor(double own, double fastest) {
    return own == 0 || fastest == 0 ? 1 : Math.max(1, Math.min(MAX_SLOWDOWN, own / fastest));
  }

  private int reportedRunning(long nowNanos) {
    return isLoadReportFresh(nowNanos) ? reportedLoad.get().running() : 0;
  }

  private int reportedWaiting(long nowNanos) {
    return isLoadReportFresh(nowNanos) ? reportedLoad.get().waiting() : 0;
  }

  private boolean isLoadReportFresh(long nowNanos) {
    return reportedLoad.isPresent() && nowNanos - loadReportedNanos < STATUS_LIFETIME_NANOS / 4;
  }

  private Optional<EndpointStatus> freshStatus(long nowNanos) {
    return status.filter(known -> nowNanos - statusNanos < STATUS_LIFETIME_NANOS);
  }
}
