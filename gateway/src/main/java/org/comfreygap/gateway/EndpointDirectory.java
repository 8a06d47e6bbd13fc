package org.comfreygap.gateway;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.EndpointSelector;
import org.comfreygap.decisions.EndpointSelector.Availability;
import org.comfreygap.decisions.EndpointSelector.EndpointSpec;
import org.comfreygap.decisions.EndpointSelector.Query;
import org.comfreygap.decisions.RetryPolicy.Cause;
import org.comfreygap.gateway.RequestContext.ResolvedRequest;
import org.comfreygap.protocol.generated.EndpointReport;
import org.comfreygap.protocol.generated.Member;
import org.comfreygap.protocol.generated.MemberState;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.MembershipAgent;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.settings.Documents.AdapterVersion;
import org.comfreygap.settings.Documents.Endpoint;
import org.comfreygap.settings.Documents.EndpointKind;
import org.comfreygap.settings.Documents.EndpointState;
import org.comfreygap.settings.SettingsView;

/**
 * The gateway's view of all endpoints, built from settings, membership, endpoint reports and its
 * own attempts.
 *
 * <p>Invariant: an endpoint that settings or membership take out of service gets no new attempt
 * after the next refresh. Thread safety: thread-safe; all methods are synchronized on this object,
 * which guards the selector.
 */
@Singleton
final class EndpointDirectory implements AutoCloseable {

  private static final int MAX_ADAPTERS = 32_768;
  // An endpoint runs a few requests of one adapter at full speed beside those of other adapters.
  private static final double REQUESTS_PER_HOME = 8;
  private static final Duration REFRESH_PERIOD = Duration.ofMillis(200);
  // Settings and membership reflect a planned move within this time after the endpoint's refusal.
  private static final long MOVED_BACKOFF_MILLIS = 250;
  private static final String SERVICE_PREFIX = "service:";

  private static final Map<MemberState, Availability> AVAILABILITY_BY_STATE =
      new EnumMap<>(
          Map.of(
              MemberState.LIVE, Availability.OPEN,
              MemberState.SUSPECT, Availability.SUSPECT,
              MemberState.LEAVING, Availability.BLOCKED,
              MemberState.GONE, Availability.BLOCKED));

  private final MembershipAgent agent;
  private final String zone;
  private final EndpointSelector selector;
  private final AdapterHomes homes = new AdapterHomes(MAX_ADAPTERS, REQUESTS_PER_HOME);
  private final Map<String, Endpoint> endpoints = new HashMap<>();
  private final Map<String, InetSocketAddress> sidecars = new HashMap<>();
  private SettingsView settings = SettingsView.empty();
  private List<EndpointSpec> sites = List.of();
  private RepeatingTask refreshThread;

  @Inject
  EndpointDirectory(GatewaySettings settings, MembershipAgent agent) {
    this.agent = agent;
    this.zone = settings.zone();
    this.selector = new EndpointSelector(homes, System.nanoTime());
  }

  /** An endpoint chosen for one attempt. */
  record Placement(String endpoint, InetSocketAddress sidecar) {}

  /** Starts to track settings and membership. */
  void start() {
    agent.onSettings(this::settingsChanged);
    refreshThread = RepeatingTask.every("endpoint-refresh", REFRESH_PERIOD, this::refresh);
  }

  /** Selects the endpoint for the next attempt and counts the attempt as running there. */
  synchronized Optional<Placement> place(ResolvedRequest resolved, List<String> excluded) {
    long now = System.nanoTime();
    long adapter =
        resolved.adapter().map(AdapterVersion::immutableName).map(AdapterHomes::hash).orElse(0L);
    String target = adapter == 0 ? SERVICE_PREFIX + resolved.target() : resolved.target();
    int index =
        selector.select(new Query(target, adapter, zone, resolved.prefixHash(), excluded), now);
    if (index == EndpointSelector.NONE) {
      return Optional.empty();
    }
    selector.dispatched(index, now);
    String name = selector.name(index);
    return Optional.of(new Placement(name, sidecars.get(name)));
  }

  /** Records the result of an attempt. */
  synchronized void attemptEnded(Placement placement, AttemptResult result) {
    int index = selector.index(placement.endpoint());
    if (index == EndpointSelector.NONE) {
      return;
    }
    selector.finished(index);
    long now = System.nanoTime();
    switch (result.kind()) {
      case COMPLETE -> selector.health(index).succeeded();
      case REFUSED -> {
        selector.health(index).succeeded();
        if (result.cause() == Cause.MOVED) {
          selector.health(index).backOff(now, MOVED_BACKOFF_MILLIS);
        } else if (result.cause() == Cause.UNREACHABLE) {
          selector.health(index).failed(now);
        }
      }
      case FAILED, UNREACHABLE, BROKEN -> selector.health(index).failed(now);
      default -> throw new IllegalStateException("unexpected result kind " + result.kind());
    }
  }

  /** Records that an attempt was abandoned for a reason unrelated to the health of the endpoint. */
  synchronized void attemptAbandoned(Placement placement) {
    int index = selector.index(placement.endpoint());
    if (index != EndpointSelector.NONE) {
      selector.finished(index);
    }
  }

  /** Applies an endpoint report. Reports are hints; no invariant depends on them. */
  synchronized void applyReport(EndpointReport report) {
    int index = selector.index(report.getEndpoint());
    if (index == EndpointSelector.NONE) {
      return;
    }
    List<String> names = report.getResident();
    long[] hashes = new long[names.size()];
    for (int i = 0; i < hashes.length; i++) {
      hashes[i] = AdapterHomes.hash(names.get(i));
    }
    selector.reported(
        index,
        report.getBootId(),
        report.getSequence(),
        report.getQueued() + report.getRunning(),
        report.getLimit(),
        hashes,
        System.nanoTime());
  }

  /** Returns the boot id last reported by an endpoint, or an empty string. */
  synchronized String bootId(String endpoint) {
    int index = selector.index(endpoint);
    return index == EndpointSelector.NONE ? "" : selector.bootId(index);
  }

  /** Returns the number of known endpoints. */
  synchronized int size() {
    return selector.size();
  }

  @Override
  public void close() {
    if (refreshThread != null) {
      refreshThread.close();
    }
  }

  private synchronized void settingsChanged(SettingsView next) {
    settings = next;
    List<EndpointSpec> nextSites = new ArrayList<>();
    endpoints.clear();
    sidecars.clear();
    for (Endpoint endpoint : next.endpoints()) {
      endpoints.put(endpoint.name(), endpoint);
      sidecars.put(endpoint.name(), Addresses.parse(endpoint.sidecar()));
      String target =
          endpoint.kind() == EndpointKind.SERVICE
              ? SERVICE_PREFIX + endpoint.target()
              : endpoint.target();
      nextSites.add(
          new EndpointSpec(endpoint.name(), endpoint.zone(), target, endpoint.maxBatch()));
    }
    nextSites.sort(Comparator.comparing(EndpointSpec::name));
    if (!nextSites.equals(sites)) {
      sites = nextSites;
      selector.fleet(sites);
    }
    refresh();
  }

  private synchronized void refresh() {
    Map<String, MemberState> states = new HashMap<>();
    int gateways = 0;
    for (Member member : agent.members()) {
      if (member.getIdentity().getKind() == ProcessKind.GATEWAY) {
        gateways += member.getState() == MemberState.LIVE ? 1 : 0;
      } else if (member.getIdentity().isSetEndpoint()) {
        // During a replacement an endpoint has two sidecars; the better state wins.
        states.merge(
            member.getIdentity().getEndpoint(),
            member.getState(),
            (a, b) -> a.compareTo(b) <= 0 ? a : b);
      }
    }
    homes.scale(gateways);
    for (EndpointSpec site : sites) {
      Availability availability = availability(endpoints.get(site.name()), states);
      selector.availability(selector.index(site.name()), availability);
    }
  }

  private Availability availability(Endpoint endpoint, Map<String, MemberState> states) {
    if (!settings.zoneIn(endpoint.zone()) || endpoint.state() == EndpointState.LEAVING) {
      return Availability.BLOCKED;
    }
    MemberState state = states.get(endpoint.name());
    return state == null ? Availability.SUSPECT : AVAILABILITY_BY_STATE.get(state);
  }
}
