package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.comfreygap.decisions.ConnectionReuse;
import org.comfreygap.decisions.EndpointSilence;
import org.comfreygap.decisions.IdleConnectionLimit;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.LimitStatement;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.SharedKey;

/**
 * The endpoints that are in the platform's list, with the connections to them and their sidecars.
 *
 * <p>Invariant: one object for each start of an endpoint. Thread safety: used on the event loop
 * only, but for {@link #silentCount}.
 */
final class EndpointDirectory {

  /**
   * Period of the reports of adapter use and of the checks for silent endpoints, short against the
   * time for which adapters are kept.
   */
  static final Duration TICK = Duration.ofMillis(100);

  private final EventLoop loop;
  private final RequestDialect dialect;
  private final int sidecarPort;
  private final SharedKey key;
  private final EventLog events;
  private final Map<String, Endpoint> byInstance = new LinkedHashMap<>();
  private final Map<String, List<Endpoint>> byPool = new HashMap<>();
  private final Map<String, IdleConnectionLimit> trustByPool = new HashMap<>();
  private final Map<String, SidecarConnection> sidecarsByHost = new HashMap<>();
  private Runnable onChange = () -> {};
  private BiConsumer<Endpoint, CrashDetector.Detection> onEnded = (endpoint, sign) -> {};
  private BiConsumer<Endpoint, LimitStatement> onLimit = (endpoint, statement) -> {};
  private BiConsumer<String, Integer> onSurplus = (instanceId, responses) -> {};
  private boolean isKnown;
  private volatile int silentCount;

  /**
   * Creates an empty directory.
   *
   * @param sidecarPort port at which sidecars serve gateways, on the host of their endpoint
   */
  EndpointDirectory(
      EventLoop loop, RequestDialect dialect, int sidecarPort, SharedKey key, EventLog events) {
    this.loop = loop;
    this.dialect = dialect;
    this.sidecarPort = sidecarPort;
    this.key = key;
    this.events = events;
  }

  /** Calls {@code listener} when an endpoint may accept work that it did not accept before. */
  void onChange(Runnable listener) {
    onChange = listener;
  }

  /** Calls {@code listener} when a start of an endpoint is known to have ended. */
  void onEnded(BiConsumer<Endpoint, CrashDetector.Detection> listener) {
    onEnded = listener;
  }

  /** Calls {@code listener} with a request limit that an endpoint stated to its sidecar. */
  void onLimit(BiConsumer<Endpoint, LimitStatement> listener) {
    onLimit = listener;
  }

  /**
   * Calls {@code listener} with the id of an endpoint, and the number of responses on a connection,
   * when more bytes arrived there than belong to these.
   */
  void onSurplus(BiConsumer<String, Integer> listener) {
    onSurplus = listener;
  }

  /** Returns the number of silent endpoints; may be called from any thread. */
  int silentCount() {
    return silentCount;
  }

  void start() {
    LoopTasks.repeat(loop, events, "adapter use", TICK, TICK, this::tick);
  }

  /** Returns true once a list has been read. */
  boolean isKnown() {
    return isKnown;
  }

  List<Endpoint> pool(String name) {
    return byPool.getOrDefault(name, List.of());
  }

  Collection<Endpoint> all() {
    return byInstance.values();
  }

  /** Returns the listed endpoint with an id. */
  Optional<Endpoint> find(String instanceId) {
    return byInstance.values().stream()
        .filter(endpoint -> endpoint.instanceId().equals(instanceId))
        .findFirst();
  }

  /** Replaces the endpoints by those of a complete list. */
  void updateListing(List<ListedEndpoint> entries, Set<String> enginePools, long nowNanos) {
    isKnown = true;
    Set<String> present = new HashSet<>();
    for (ListedEndpoint entry : entries) {
      present.add(key(entry));
      Endpoint endpoint = byInstance.get(key(entry));
      if (endpoint == null) {
        add(entry, enginePools.contains(entry.pool()), nowNanos);
      } else {
        // The tables that mark a pool as one of engines may arrive after the list.
        if (endpoint.sidecar().isEmpty() && enginePools.contains(entry.pool())) {
          attachSidecar(endpoint);
        }
        boolean before = endpoint.isLeaving(nowNanos);
        endpoint.updateListing(entry, nowNanos);
        if (before != endpoint.isLeaving(nowNanos)) {
          record(RelayEvent.ENDPOINT_CHANGED, endpoint);
        }
      }
    }
    for (Endpoint endpoint : new ArrayList<>(byInstance.values())) {
      if (!present.contains(endpoint.instanceId() + "@" + endpoint.address())) {
        remove(endpoint);
      }
    }
    Set<String> hosts = new HashSet<>();
    byInstance.values().forEach(e -> hosts.add(PortBlock.hostOf(e.address())));
    sidecarsByHost
        .entrySet()
        .removeIf(link -> closeIfUnused(link.getKey(), link.getValue(), hosts));
    onChange.run();
  }

  void close() {
    sidecarsByHost.values().forEach(SidecarConnection::close);
    byInstance.values().forEach(endpoint -> endpoint.connections().closeIdle());
  }

  private void add(ListedEndpoint entry, boolean engine, long nowNanos) {
    InetSocketAddress address = Addresses.parse(entry.address());
    IdleConnectionLimit trust =
        trustByPool.computeIfAbsent(entry.pool(), pool -> new IdleConnectionLimit());
    ConnectionPool connections =
        new ConnectionPool(loop, dialect, address, trust, observer(entry.instanceId()));
    Endpoint endpoint = new Endpoint(entry, connections, nowNanos);
    byInstance.put(key(entry), endpoint);
    byPool.computeIfAbsent(entry.pool(), pool -> new ArrayList<>()).add(endpoint);
    if (engine) {
      attachSidecar(endpoint);
    }
    record(RelayEvent.ENDPOINT_LISTED, endpoint);
  }

  private ConnectionPool.Observer observer(String instanceId) {
    return new ConnectionPool.Observer() {
      @Override
      public void surplusReceived(int responses) {
        onSurplus.accept(instanceId, responses);
      }

      @Override
      public void reuseSuspended(String cause) {
        events.record(
            RelayEvent.REUSE_SUSPENDED,
            Field.of("endpoint", instanceId),
            Field.of("cause", cause),
            Field.of("millis", ConnectionReuse.SUSPENSION.toMillis()));
      }

      @Override
      public void reuseResumed() {
        events.record(RelayEvent.REUSE_RESUMED, Field.of("endpoint", instanceId));
      }
    };
  }

  private void attachSidecar(Endpoint endpoint) {
    String host = PortBlock.hostOf(endpoint.address());
    endpoint.sidecar(sidecarsByHost.computeIfAbsent(host, this::connectSidecar));
  }

  private void remove(Endpoint endpoint) {
    endpoint.markGone();
    onEnded.accept(endpoint, CrashDetector.Detection.NOT_LISTED);
    endpoint.connections().closeIdle();
    byInstance.remove(endpoint.instanceId() + "@" + endpoint.address());
    byPool.get(endpoint.pool()).remove(endpoint);
    record(RelayEvent.ENDPOINT_GONE, endpoint);
  }

  private SidecarConnection connectSidecar(String host) {
    SidecarConnection link =
        new SidecarConnection(
            loop, new InetSocketAddress(host, sidecarPort), key, events, new HostListener(host));
    link.start();
    return link;
  }

  private static boolean closeIfUnused(String host, SidecarConnection link, Set<String> hosts) {
    boolean unused = !hosts.contains(host);
    if (unused) {
      link.close();
    }
    return unused;
  }

  private void statusReceived(String host, EndpointStatus status) {
    long now = System.nanoTime();
    for (Endpoint endpoint : endpointsAt(host)) {
      if (endpoint.updateStatus(status, now)) {
        onEnded.accept(endpoint, CrashDetector.Detection.NEW_START);
      }
      if (status.isSetLimit() && status.getInstanceId().equals(endpoint.instanceId())) {
        onLimit.accept(endpoint, status.getLimit());
      }
    }
    onChange.run();
  }

  private List<Endpoint> endpointsAt(String host) {
    return byInstance.values().stream()
        .filter(endpoint -> endpoint.address().startsWith(host + ":"))
        .toList();
  }

  private void tick() {
    long now = System.nanoTime();
    sidecarsByHost.values().forEach(link -> link.tick(now));
    byInstance.values().forEach(endpoint -> checkSilence(endpoint, now));
    silentCount = (int) byInstance.values().stream().filter(e -> e.silence().isSilent()).count();
  }

  private void checkSilence(Endpoint endpoint, long now) {
    EndpointSilence.Change change = endpoint.silence().check(now);
    if (change == EndpointSilence.Change.BEGAN) {
      record(RelayEvent.ENDPOINT_SILENT, endpoint);
    } else if (change == EndpointSilence.Change.ENDED) {
      record(RelayEvent.ENDPOINT_HEARD, endpoint);
      onChange.run();
    }
  }

  private static String key(ListedEndpoint entry) {
    return entry.instanceId() + "@" + entry.address();
  }

  private void record(RelayEvent event, Endpoint endpoint) {
    Optional<SidecarConnection> link = endpoint.sidecar();
    events.record(
        event,
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("address", endpoint.address()),
        Field.of("pool", endpoint.pool()),
        Field.of("zone", endpoint.zone()),
        Field.of("leaving", endpoint.isLeaving(System.nanoTime())),
        Field.of("sidecar", link.map(SidecarConnection::isConnected).orElse(false)));
  }

  /** Applies what a sidecar's connection shows to the endpoints of its host. */
  private final class HostListener implements SidecarConnection.Listener {

    private final String host;

    HostListener(String host) {
      this.host = host;
    }

    @Override
    public void accepted() {
      long now = System.nanoTime();
      // A plain service may share the host, and is not reported.
      endpointsAt(host).stream()
          .filter(endpoint -> endpoint.sidecar().isPresent())
          .forEach(endpoint -> endpoint.silence().reporterAccepted(now));
    }

    @Override
    public void statusReceived(EndpointStatus status) {
      EndpointDirectory.this.statusReceived(host, status);
    }

    @Override
    public void lost() {
      endpointsAt(host).forEach(Endpoint::sidecarLost);
    }

    @Override
    public void refused() {
      endpointsAt(host).forEach(endpoint -> endpoint.silence().reporterEnded());
    }
  }
}
