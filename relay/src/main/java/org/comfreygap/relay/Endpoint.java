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
import org.comfreygap.decisions.EndpointSuspects;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ResidentAdapter;

/**
 * What this gateway knows of one start of an endpoint: from the platform's list, from the sidecar
 * beside it where there is one, and from its own requests.
 *
 * <p>Invariant: the sidecar's word on adapters goes before the list's. Thread safety: used on the
 * event loop only.
 */
final class Endpoint {

  /** Age at which a status is no longer used: four of the longest times between two. */
  static final long STATUS_LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

  // Slower ones are avoided as much as these.
  private static final double MAX_SLOWDOWN = 8;
  private static final double LATENCY_WEIGHT = 0.1;
  // About the last 100 parts count, which a few streams make in two seconds.
  private static final double PART_INTERVAL_WEIGHT = 0.01;
  // About the last 20 attempts count, which one gateway sends to an endpoint in a few seconds.
  private static final double RESULT_WEIGHT = 0.05;

  private final String instanceId;
  private final String address;
  private final String zone;
  private final long hash;
  private final ConnectionPool connections;
  private final EndpointHealth health = new EndpointHealth();
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
    listed(listed, nowNanos);
  }

  String instanceId() {
    return instanceId;
  }

  String address() {
    return address;
  }

  String zone() {
    return zone;
  }

  String pool() {
    return listed.pool();
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

  Optional<SidecarConnection> sidecar() {
    return sidecar;
  }

  void sidecar(SidecarConnection opened) {
    sidecar = Optional.of(opened);
  }

  void listed(ListedEndpoint entry, long nowNanos) {
    listed = entry;
    listedNanos = nowNanos;
    absent.removeIf(name -> !entry.adapters().containsKey(name));
  }

  /** The list shows the endpoint no more. */
  void gone() {
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
   * Records that this start has ended; the first sign counts until the endpoint is heard from.
   *
   * @return when it ended, by this machine's monotonic clock
   */
  long markEnded(CrashDetector.Detection sign, long nowNanos) {
    if (endedBy.isEmpty()) {
      endedBy = Optional.of(sign);
      endedNanos = nowNanos;
    }
    return endedNanos;
  }

  /** Returns by what this start is known to have ended. */
  Optional<CrashDetector.Detection> endedBy() {
    return endedBy;
  }

  /** A connection is open: unless another start has the address, this one is back under its id. */
  void connectionOpened() {
    endedBy = endedBy.filter(sign -> superseded || gone);
  }

  /** A part of an answer came. */
  void responseReceived(long nowNanos) {
    suspects.responseReceived(nowNanos);
    // What was on its way at the end may still arrive.
    if (endedBy.isPresent() && nowNanos - endedNanos > EndpointSuspects.IN_TRANSIT_TIME.toNanos()) {
      endedBy = Optional.empty();
    }
  }

  /** Returns true when another start of the endpoint has its address. */
  boolean isSuperseded() {
    return superseded;
  }

  /**
   * Takes a status of the sidecar; one of another start of the endpoint is not for this object.
   *
   * @return true when it shows that this start has ended
   */
  boolean status(EndpointStatus newest, long nowNanos) {
    if (!newest.getInstanceId().equals(instanceId)) {
      superseded |= newest.isAnswering();
      return newest.isAnswering();
    }
    boolean startedAgain =
        bornMillis.isPresent() && bornMillis.getAsLong() != newest.getBornMillis();
    bornMillis = OptionalLong.of(newest.getBornMillis());
    status = Optional.of(newest);
    statusNanos = nowNanos;
    sentSinceStatus = 0;
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

  /** Another start of an endpoint has the address now; the list will show it. */
  void superseded() {
    superseded = true;
  }

  /** The connection to the sidecar ended; what it said is too old soon. */
  void sidecarLost() {
    status = Optional.empty();
    resident = new HashMap<>();
  }

  /** Returns true when new requests may be sent here. */
  boolean acceptsRequests(long nowNanos) {
    boolean answers = freshStatus(nowNanos).map(EndpointStatus::isAnswering).orElse(true);
    return !gone && !superseded && !isLeaving(nowNanos) && answers && health.usable(nowNanos);
  }

  boolean isLeaving(long nowNanos) {
    return listed.leaving() || freshStatus(nowNanos).map(EndpointStatus::isLeaving).orElse(false);
  }

  /** Returns true when the endpoint is cold, as far as is known here. */
  boolean isCold(long nowNanos) {
    return coldMillis(nowNanos) > 0;
  }

  /** Returns for how long the endpoint stays cold: the longer of what list and sidecar say. */
  long coldMillis(long nowNanos) {
    long listedLeft = listed.coldMillis() - TimeUnit.NANOSECONDS.toMillis(nowNanos - listedNanos);
    long stated = freshStatus(nowNanos).map(EndpointStatus::getColdMillis).orElse(0L);
    long statedLeft = stated - TimeUnit.NANOSECONDS.toMillis(nowNanos - statusNanos);
    return Math.max(0, Math.max(listedLeft, stated > 0 ? statedLeft : 0));
  }

  /** Returns whether the base model is there; without a status the list is asked. */
  boolean holdsModel(String model, long nowNanos) {
    return freshStatus(nowNanos)
        .map(known -> known.getModels().contains(model))
        .orElseGet(() -> listed.models().contains(model));
  }

  Residency residency(AdapterSlots.Name name, long leastVersion) {
    Map<AdapterSlots.Name, Long> held = status.isPresent() ? resident : listed.adapters();
    Long version = absent.contains(name) ? null : held.get(name);
    if (version != null && version >= leastVersion) {
      return Residency.HELD;
    }
    if (version != null) {
      return Residency.OUTDATED;
    }
    boolean asked = sidecar.isPresent() && sidecar.get().isRequested(name);
    return asked ? Residency.COMING : Residency.ABSENT;
  }

  /** Returns false when every place for adapters is used by open requests. */
  boolean canLoad(long nowNanos) {
    return freshStatus(nowNanos)
        .map(known -> !known.isSetLoadable() || known.getLoadable() > 0)
        .orElse(true);
  }

  /** Returns the version of an adapter that is held, where it is known. */
  OptionalLong residentVersion(AdapterSlots.Name name) {
    Map<AdapterSlots.Name, Long> held = status.isPresent() ? resident : listed.adapters();
    Long version = held.get(name);
    // Right after a load the version is known only as "at least"; the next status tells.
    return version == null || version <= 0 ? OptionalLong.empty() : OptionalLong.of(version);
  }

  /** An answer showed that an adapter is not there. */
  void absent(AdapterSlots.Name name) {
    absent.add(name);
    resident.remove(name);
  }

  /** The sidecar answered that an adapter is there. */
  void markPresent(AdapterSlots.Name name, long version) {
    absent.remove(name);
    resident.put(name, version);
  }

  int slots() {
    return Math.max(1, listed.slots());
  }

  /** Returns how many requests run, as far as is known here. */
  int running(long nowNanos) {
    int begun = inFlight - notBegun;
    int known =
        freshStatus(nowNanos).map(EndpointStatus::getRunning).orElse(reportedRunning(nowNanos));
    return Math.max(begun, known);
  }

  /** Returns how many requests wait for their first output, as far as is known here. */
  int waiting(long nowNanos) {
    int known =
        freshStatus(nowNanos)
            .map(current -> current.getWaiting() + sentSinceStatus)
            .orElse(reportedWaiting(nowNanos));
    return Math.max(notBegun, known);
  }

  /** Returns how much longer plain requests take here than at the fastest endpoint. */
  double slowdown(double fastestMillis) {
    return slowdownFactor(latencyMillis, fastestMillis);
  }

  /** Returns how much longer the pauses in streams are here than at the fastest engine. */
  double streamSlowdown(double fastestMillis) {
    return slowdownFactor(partIntervalMillis, fastestMillis);
  }

  double latencyMillis() {
    return latencyMillis;
  }

  /** Records the time between two parts of an answer. */
  void recordPartInterval(double millis) {
    partIntervalMillis =
        partIntervalMillis == 0
            ? millis
            : partIntervalMillis + PART_INTERVAL_WEIGHT * (millis - partIntervalMillis);
  }

  /** Returns the usual time between two parts of an answer; 0 when it is not known. */
  double partIntervalMillis() {
    return partIntervalMillis;
  }

  /** Returns the share of the latest attempts here that broke off or failed. */
  double failureRate() {
    return failureRate;
  }

  /**
   * Takes note of an attempt that failed.
   *
   * @return true when the request should not come here again; false when only its adapter is absent
   */
  boolean recordFailure(Attempt.Failure failure, Optional<AdapterSlots.Name> adapter) {
    Optional<String> answering = failure.refusal().flatMap(ResponseHead::instanceId);
    answering.filter(id -> !id.equals(instanceId)).ifPresent(id -> superseded());
    if (failure.outcome() != Outcome.NOT_RUN) {
      recordResult(false);
    }
    boolean misdirected =
        failure
            .refusal()
            .filter(answer -> answer.verdict() == ResponseHead.Verdict.MISDIRECTED)
            .isPresent();
    boolean lacksAdapter =
        misdirected && adapter.isPresent() && answering.filter(instanceId::equals).isPresent();
    if (lacksAdapter) {
      absent(adapter.get());
    }
    return !lacksAdapter;
  }

  /** Records whether an attempt got a good answer. */
  void recordResult(boolean good) {
    failureRate += RESULT_WEIGHT * ((good ? 0 : 1) - failureRate);
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

  void reportedLoad(ResponseHead.ReportedLoad load, long nowNanos) {
    reportedLoad = Optional.of(load);
    loadReportedNanos = nowNanos;
  }

  /** Returns what is known of the load here, and how old it is, for the log. */
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
        + ",cold:"
        + isCold(nowNanos);
  }

  /** Records the time in which a plain request was answered. */
  void recordLatency(double millis) {
    latencyMillis =
        latencyMillis == 0 ? millis : latencyMillis + LATENCY_WEIGHT * (millis - latencyMillis);
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
