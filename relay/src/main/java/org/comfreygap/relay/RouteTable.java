package org.comfreygap.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.VersionRequirements;
import org.comfreygap.settings.Documents.AnnouncedVersion;
import org.comfreygap.settings.Documents.Customer;
import org.comfreygap.settings.Documents.Pool;
import org.comfreygap.settings.Documents.RequestLimits;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.Documents.Scaling;
import org.comfreygap.settings.KeyHash;
import org.comfreygap.settings.SettingsView;

/**
 * The routing tables of one revision of the settings, indexed for requests.
 *
 * <pre>{@code
 * Optional<Route> route = table.route("shop.example", "/orders/17");
 * }</pre>
 *
 * <p>Invariant: every decision about a request is based on one table. Thread safety: immutable.
 *
 * @since 0.2
 */
final class RouteTable {

  /** Limits on requests while none are published. */
  static final RequestLimits DEFAULT_LIMITS = new RequestLimits(16_384, 4_194_304, 3_000, 15_000);

  private static final RouteTable EMPTY =
      new RouteTable(SettingsView.empty(), VersionRequirements.none());

  private final SettingsView view;
  private final Map<String, List<Route>> routesByHost = new HashMap<>();
  private final VersionRequirements versions;
  private final Set<String> scaledPools;

  private RouteTable(SettingsView view, VersionRequirements versions) {
    this.view = view;
    this.versions = versions;
    this.scaledPools = view.scaling().stream().map(Scaling::pool).collect(Collectors.toSet());
    for (Route route : view.routes()) {
      routesByHost
          .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
          .add(route);
    }
    Comparator<Route> longestFirst =
        Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();
    routesByHost.values().forEach(routes -> routes.sort(longestFirst));
  }

  static RouteTable empty() {
    return EMPTY;
  }

  /**
   * Returns the table of {@code view}, which replaces {@code before}.
   *
   * @param confirmedNanos monotonic time as of which the settings before were confirmed
   */
  static RouteTable of(SettingsView view, RouteTable before, long confirmedNanos, long nowNanos) {
    Map<AdapterSlots.Name, Long> announced = new HashMap<>();
    for (AnnouncedVersion found : view.announcedVersions()) {
      announced.put(new AdapterSlots.Name(found.model(), found.adapter()), found.version());
    }
    boolean first = before.revision() == 0;
    return new RouteTable(
        view,
        first
            ? VersionRequirements.first(announced)
            : before.versions.next(announced, confirmedNanos, nowNanos));
  }

  /** Returns the settings revision that the table comes from. */
  long revision() {
    return view.revision();
  }

  /** Returns true when routing tables were published. */
  boolean published() {
    return view.publication().isPresent();
  }

  /** Returns the route with the longest prefix of {@code path} at {@code host}. */
  Optional<Route> route(String host, String path) {
    List<Route> routes = routesByHost.getOrDefault(withoutPort(host), List.of());
    for (Route route : routes) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns true when requests need a key, unless their route is open. */
  boolean requiresKey() {
    return view.requiresKeys();
  }

  /** Returns the customer that holds {@code key}. */
  Optional<Customer> customer(String key) {
    return view.activeKey(KeyHash.of(key)).flatMap(found -> view.customer(found.customer()));
  }

  /** Returns true when the requests of a customer are limited. */
  boolean hasLimits(String customer) {
    return view.limits(customer).isPresent();
  }

  Optional<Pool> pool(String name) {
    return view.pool(name);
  }

  /** Returns the names of the pools whose endpoints are model engines. */
  Set<String> enginePools() {
    return view.pools().stream()
        .filter(pool -> pool.engine().isPresent())
        .map(Pool::name)
        .collect(Collectors.toSet());
  }

  /** Returns the names of the pools whose number of endpoints is ordered. */
  Set<String> scaledPools() {
    return scaledPools;
  }

  boolean zoneIn(String zone) {
    return view.zoneIn(zone);
  }

  RequestLimits limits() {
    return view.requestLimits().orElse(DEFAULT_LIMITS);
  }

  /** Returns the minimum version of an adapter that may serve at {@code nowNanos}; 0 for any. */
  long minVersion(AdapterSlots.Name name, long nowNanos) {
    return versions.required(name, nowNanos);
  }

  /** Returns the newest announced version of an adapter; 0 when none was announced. */
  long newestVersion(AdapterSlots.Name name) {
    return versions.newest(name);
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon > 0 && !host.endsWith("]") ? host.substring(0, colon) : host;
    return name.toLowerCase(Locale.ROOT);
  }
}
