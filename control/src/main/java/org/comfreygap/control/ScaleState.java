package org.comfreygap.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The replicated part of orders of the number of endpoints: the newest order for each pool in each
 * availability zone.
 *
 * <p>Invariants: orders of a subject are numbered without gaps, and the content of an order does
 * not change afterwards. Not thread-safe: the monitor of {@link ControlState} guards it.
 */
final class ScaleState {

  /** Far above the pools of a deployment times its zones. */
  static final int MAX_ORDERS = 10_000;

  /** Stands for a number that is not known. */
  private static final int UNKNOWN = -1;

  private final Map<String, EndpointOrder> orders = new LinkedHashMap<>();

  /** What the platform made of an order. */
  enum Outcome {
    PENDING,
    ACCEPTED,
    REFUSED
  }

  /**
   * The newest order for a pool in a zone.
   *
   * @param count endpoints that are ordered
   * @param countBefore the count that the platform accepted last before, or -1
   * @param reason name of the reason
   * @param orderedMillis log time of the order
   * @param outcomeMillis log time of the outcome; that of the order while it is pending
   */
  record EndpointOrder(
      String pool,
      String zone,
      int count,
      int countBefore,
      String reason,
      DutyCall call,
      long orderedMillis,
      Outcome outcome,
      long outcomeMillis) {

    /** Returns the number that the platform keeps, as far as the orders tell. */
    OptionalInt countInForce() {
      int inForce = outcome == Outcome.REFUSED ? countBefore : count;
      return inForce == UNKNOWN ? OptionalInt.empty() : OptionalInt.of(inForce);
    }

    private int countAccepted() {
      return outcome == Outcome.ACCEPTED ? count : countBefore;
    }
  }

  /** Returns the subject of the calls for a pool in a zone. */
  static String subject(String pool, String zone) {
    return pool + "/" + zone;
  }

  Object apply(Command.ScaleCommand command, long logMillis) {
    if (command instanceof Command.OrderEndpoints order) {
      return new ControlState.Applied(order(order, logMillis));
    }
    Command.EndOrder end = (Command.EndOrder) command;
    return new ControlState.Applied(end(end, logMillis));
  }

  Optional<EndpointOrder> find(String subject) {
    return Optional.ofNullable(orders.get(subject));
  }

  List<EndpointOrder> all() {
    return new ArrayList<>(orders.values());
  }

  void write(SnapshotFile.LineWriter out) throws IOException {
    out.writeAll(orders.values(), SnapshotLine.EndpointOrder::new);
  }

  /** Reads a line on orders; returns false for another line. */
  boolean read(SnapshotLine line) {
    if (line instanceof SnapshotLine.EndpointOrder order) {
      orders.put(order.order().call().subject(), order.order());
      return true;
    }
    return false;
  }

  private boolean order(Command.OrderEndpoints order, long logMillis) {
    EndpointOrder before = orders.get(order.call().subject());
    long next = before == null ? 1 : before.call().number() + 1;
    if (order.call().number() != next) {
      // The result of an earlier proposal was lost.
      return false;
    }
    put(
        new EndpointOrder(
            order.pool(),
            order.zone(),
            order.count(),
            before == null ? UNKNOWN : before.countAccepted(),
            order.reason(),
            order.call(),
            logMillis,
            Outcome.PENDING,
            logMillis));
    return true;
  }

  private boolean end(Command.EndOrder end, long logMillis) {
    EndpointOrder open = orders.get(end.subject());
    boolean isNewest = open != null && open.call().number() == end.number();
    if (!isNewest || open.outcome() != Outcome.PENDING) {
      return false;
    }
    put(
        new EndpointOrder(
            open.pool(),
            open.zone(),
            open.count(),
            open.countBefore(),
            open.reason(),
            open.call(),
            open.orderedMillis(),
            end.accepted() ? Outcome.ACCEPTED : Outcome.REFUSED,
            logMillis));
    return true;
  }

  private void put(EndpointOrder order) {
    orders.remove(order.call().subject());
    orders.put(order.call().subject(), order);
    if (orders.size() > MAX_ORDERS) {
      orders.remove(orders.keySet().iterator().next());
    }
  }
}
