package org.comfreygap.settings;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The typed documents of the settings tree. The names of fields match the JSON documents.
 *
 * <p>Invariant: documents are validated before they reach these types. Thread safety: all are
 * immutable.
 *
 * @since 0.1
 */
public final class Documents {

  private Documents() {}

  /** State of a caller's key. */
  public enum KeyState {
    ACTIVE,
    WITHDRAWN
  }

  /** State of an availability zone. */
  public enum ZoneState {
    IN,
    OUT
  }

  /** State of an endpoint as set by the operator. */
  public enum EndpointState {
    IN,
    LEAVING
  }

  /** Kind of process that an endpoint runs. */
  public enum EndpointKind {
    ENGINE,
    SERVICE
  }

  /** A team, which owns one subtree of the settings. */
  public record Team(String name, Optional<String> displayName) {}

  /** Unit in which the limits of a customer are counted. */
  public enum CountingUnit {
    TOKENS,
    REQUESTS
  }

  /**
   * A customer; {@code id} is {@code team/customer}.
   *
   * @param rank rank of its requests, 0 first; overrides the rank of the route
   * @param countedIn unit in which its limits are counted
   * @param tokensWithoutCount tokens charged for a request that states no token count
   */
  public record Customer(
      String id,
      String team,
      Priority defaultPriority,
      OptionalInt rank,
      CountingUnit countedIn,
      long tokensWithoutCount) {}

  /**
   * A customer's limits across the whole fleet.
   *
   * @param tokensPerSecond sustained rate in tokens per second
   * @param burstTokens maximum burst above the rate, in tokens
   */
  public record Limits(String customer, long tokensPerSecond, long burstTokens) {}

  /** A caller's key, stored as the lower-case hexadecimal SHA-256 of the key. */
  public record Key(String customer, String keyId, String sha256, KeyState state) {}

  /** An adapter; {@code id} is {@code team/adapter}. */
  public record Adapter(String id, String team, String baseModel, Set<String> customers) {

    /** Returns true when {@code customer} ({@code team/customer}) may use the adapter. */
    public boolean permits(String customer) {
      return Access.permits(team, customers, customer);
    }
  }

  /** An immutable version of an adapter. */
  public record AdapterVersion(String adapter, String version, String source) {

    /** Returns the name under which engines load this version: {@code team/adapter@version}. */
    public String immutableName() {
      return adapter + "@" + version;
    }
  }

  /** A plain service route; {@code id} is {@code team/service}. */
  public record ServiceRoute(
      String id,
      String team,
      boolean open,
      Set<String> customers,
      Set<String> idempotentMethods,
      Priority defaultPriority) {

    /** Returns true when {@code customer} ({@code team/customer}) may call the service. */
    public boolean permits(String customer) {
      return Access.permits(team, customers, customer);
    }
  }

  /** An availability zone. */
  public record Zone(String name, ZoneState state) {}

  /**
   * Cold-start bounds of an endpoint.
   *
   * @param initialConcurrency maximum concurrent requests directly after a start
   * @param rampSeconds time over which the bound rises to its full value
   */
  public record ColdStart(int initialConcurrency, double rampSeconds) {}

  /**
   * An endpoint.
   *
   * @param target base model of an engine, or {@code team/service} of a plain service
   * @param sidecar {@code ip:port} of the sidecar's attempt server
   * @param slots adapter slots of an engine; 0 for a plain service
   * @param maxBatch maximum concurrent requests
   * @param checksFencing true when the endpoint rejects commands with an outdated fencing number
   */
  public record Endpoint(
      String name,
      String zone,
      EndpointKind kind,
      String target,
      String sidecar,
      int slots,
      int maxBatch,
      boolean checksFencing,
      EndpointState state,
      ColdStart coldStart) {}

  /**
   * Limits of the weight store.
   *
   * @param loadsPerSecond loads that may start per second
   * @param fullSpeedLoads concurrent loads that run at full speed
   * @param maxInFlight loads in flight across the whole fleet beyond which all of them slow down
   */
  public record StoreLimits(double loadsPerSecond, int fullSpeedLoads, int maxInFlight) {}

  /**
   * A route: the target pools of the requests to one host below one path prefix.
   *
   * @param rank urgency, 0 first
   * @param targets pools with their weights
   * @param maxAttempts maximum number of endpoints to which one request may be sent
   * @param open true when no key is needed
   * @param sticky true when requests state the parts of their prompt, which endpoints may cache
   * @param resumable true when a stream may be resumed at another endpoint
   * @param maxGapMillis longest pause between events of a stream that meets its target; 0 when no
   *     target is set
   */
  public record Route(
      String name,
      String host,
      String pathPrefix,
      RequestKind kind,
      long timeoutMillis,
      long targetLatencyMillis,
      long maxGapMillis,
      int rank,
      List<RouteTarget> targets,
      int maxAttempts,
      boolean open,
      boolean sticky,
      boolean resumable) {

    /** Returns true when a request that may already have run may be sent again. */
    public boolean idempotent() {
      return kind == RequestKind.SAFE || (kind == RequestKind.STREAM && resumable);
    }
  }

  /** A pool of a route with the weight of its share of the requests. */
  public record RouteTarget(String pool, double weight) {}

  /**
   * A pool of equivalent endpoints.
   *
   * @param healthPath path of the health check of its endpoints
   * @param maxConnections connections that an endpoint accepts from all callers in total
   * @param coldSeconds time after a start for which an endpoint is cold
   * @param coldRequestsPerSecond requests per second that a cold endpoint can serve; 0: no bound
   */
  public record Pool(
      String name,
      String healthPath,
      int maxConnections,
      double coldSeconds,
      double coldRequestsPerSecond,
      Optional<Engine> engine) {}

  /**
   * Bounds on the number of endpoints of a pool in each availability zone. Only pools with such a
   * document have their number ordered.
   *
   * @param min fewest endpoints in a zone
   * @param max most endpoints in a zone
   * @param bootSeconds time from an order until a new endpoint serves
   * @since 0.8
   */
  public record Scaling(String pool, int min, int max, double bootSeconds) {}

  /**
   * Capacity of the model engines of a pool.
   *
   * @param slots maximum concurrent requests
   * @param kvTokens tokens of running requests and cached prompts that fit into memory
   * @param adapterSlots maximum number of resident adapters
   * @param weightsMegabytes memory for weights and adapters, in megabytes
   * @param loadsPerSecond base model loads per second that the weight store allows; 0: no bound
   */
  public record Engine(
      int slots,
      long kvTokens,
      int adapterSlots,
      double weightsMegabytes,
      double loadsPerSecond,
      List<BaseModel> models) {}

  /** A base model that the engines of a pool may load. */
  public record BaseModel(String name, double weightsMegabytes, long adapters) {}

  /**
   * Bounds on the requests of callers.
   *
   * @param maxHeaderBytes maximum total size of the request line and headers
   * @param headerTimeoutMillis longest time a caller may take for the headers
   * @param idleTimeoutMillis time after which an idle connection is closed
   */
  public record RequestLimits(
      int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}

  /** The version of the routing tables, assigned by their publisher. */
  public record Publication(long version) {}

  /**
   * What the routing tables state about callers' keys.
   *
   * @param required true when requests need a key even if there are no customers
   */
  public record KeyPolicy(boolean required) {}

  /** The newest announced version of an adapter of a base model. */
  public record AnnouncedVersion(String model, String adapter, long version) {}

  /** The newest announced version of the weights of a base model; a load fetches the newest one. */
  public record AnnouncedWeights(String model, long version) {}

  private static final class Access {

    private static final String EVERY_CUSTOMER = "*";

    private Access() {}

    static boolean permits(String team, Set<String> customers, String customer) {
      int slash = customer.indexOf('/');
      if (slash < 0 || !customer.regionMatches(0, team, 0, Math.max(slash, team.length()))) {
        return false;
      }
      return customers.contains(EVERY_CUSTOMER)
          || customers.contains(customer.substring(slash + 1));
    }
  }

  /** Returns {@code names} as an immutable set. */
  static Set<String> toSet(List<String> names) {
    return Set.copyOf(names);
  }
}
