package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Optional;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.settings.Documents.CountingUnit;
import org.comfreygap.settings.Documents.Customer;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.Documents.RouteTarget;
import org.comfreygap.settings.Priority;
import org.comfreygap.settings.RequestKind;

/**
 * The result of one routing table for a request.
 *
 * <p>Invariant: either there is a refusal, or there is a route. Thread safety: immutable.
 */
final class RouteDecision {

  /** Ranks up to this one are urgent; those above {@link #LAST_NORMAL} are deferrable. */
  private static final int LAST_URGENT = 0;

  private static final int LAST_NORMAL = 4;
  private static final double HASH_RANGE = Math.pow(2, 63);

  private final long revision;
  private final Optional<Route> route;
  private final Optional<Customer> customer;
  private final Optional<Refusal> refusal;
  private final String pool;
  private final long tokens;

  private RouteDecision(
      long revision,
      Optional<Route> route,
      Optional<Customer> customer,
      Optional<Refusal> refusal,
      String pool,
      long tokens) {
    this.revision = revision;
    this.route = route;
    this.customer = customer;
    this.refusal = refusal;
    this.pool = pool;
    this.tokens = tokens;
  }

  static RouteDecision of(RouteTable table, HttpRequest head, CallerRequest callerRequest) {
    if (!table.published()) {
      return refused(table, Optional.empty(), Refusal.NO_TABLES);
    }
    String host = head.headers().get(HttpHeaderNames.HOST, "");
    Optional<Route> route = table.route(host, path(head.uri()));
    if (route.isEmpty()) {
      return refused(table, route, Refusal.NO_ROUTE);
    }
    Optional<Customer> customer = Optional.empty();
    if (!route.get().open() && table.requiresKey()) {
      customer = callerRequest.key().flatMap(table::customer);
      if (customer.isEmpty()) {
        return refused(table, route, Refusal.NO_KEY);
      }
    }
    String pool = poolOf(route.get(), callerRequest.id());
    long tokens = customer.map(known -> countedTokens(known, callerRequest)).orElse(0L);
    return new RouteDecision(table.revision(), route, customer, Optional.empty(), pool, tokens);
  }

  /** Returns the path of a request's target, without the query. */
  static String path(String uri) {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Returns the decision by the tables in force now, which is this one while they are the same. */
  RouteDecision by(RouteTable table, HttpRequest head, CallerRequest callerRequest) {
    return table.revision() == revision ? this : of(table, head, callerRequest);
  }

  /** Returns this decision for another pool of the route, or empty when the route has it not. */
  Optional<RouteDecision> withPool(String name) {
    boolean isTarget = route().targets().stream().anyMatch(target -> target.pool().equals(name));
    return isTarget
        ? Optional.of(new RouteDecision(revision, route, customer, refusal, name, tokens))
        : Optional.empty();
  }

  long revision() {
    return revision;
  }

  Optional<Refusal> refusal() {
    return refusal;
  }

  /** Returns the route; there is one when there is no refusal. */
  Route route() {
    return route.orElseThrow();
  }

  boolean isStream() {
    return route().kind() == RequestKind.STREAM;
  }

  String routeName() {
    return route.map(Route::name).orElse("none");
  }

  Optional<Customer> customer() {
    return customer;
  }

  /** Returns the customer's id, with its team. */
  Optional<String> customerId() {
    return customer.map(Customer::id);
  }

  /** Returns the customer's name without its team. */
  Optional<String> customerName() {
    return customer.map(known -> known.id().substring(known.id().indexOf('/') + 1));
  }

  String pool() {
    return pool;
  }

  /** Returns the tokens that count against the customer's limits. */
  long tokens() {
    return tokens;
  }

  /** Returns the priority rank, 0 being the most urgent; the customer's overrides the route's. */
  int rank() {
    return customer.isPresent() && customer.get().rank().isPresent()
        ? customer.get().rank().getAsInt()
        : route().rank();
  }

  Priority priority() {
    if (rank() <= LAST_URGENT) {
      return Priority.URGENT;
    }
    return rank() <= LAST_NORMAL ? Priority.NORMAL : Priority.DEFERRABLE;
  }

  private static RouteDecision refused(RouteTable table, Optional<Route> route, Refusal refusal) {
    return new RouteDecision(
        table.revision(), route, Optional.empty(), Optional.of(refusal), "", 0);
  }

  private static long countedTokens(Customer customer, CallerRequest callerRequest) {
    return customer.countedIn() == CountingUnit.REQUESTS
        ? 1
        : callerRequest.tokens().orElse(customer.tokensWithoutCount());
  }

  /**
   * Returns the pool, which is the same for each placement of one request while the weights stay.
   */
  private static String poolOf(Route route, String requestId) {
    List<RouteTarget> targets = route.targets();
    if (targets.size() == 1) {
      return targets.get(0).pool();
    }
    double sum = targets.stream().mapToDouble(RouteTarget::weight).sum();
    double at = (AdapterHomes.hash(requestId) >>> 1) / HASH_RANGE * sum;
    for (RouteTarget target : targets) {
      at -= target.weight();
      if (at < 0) {
        return target.pool();
      }
    }
    return targets.get(targets.size() - 1).pool();
  }
}
