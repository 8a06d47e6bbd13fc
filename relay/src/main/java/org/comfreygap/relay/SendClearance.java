package org.comfreygap.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.SendSlots;
import org.comfreygap.protocol.generated.ColdPermitReply;
import org.comfreygap.protocol.generated.ReadingPermitReply;
import org.comfreygap.protocol.generated.ReadingPermitRequest;
import org.comfreygap.runtime.Field;

/**
 * Obtains what a send to an endpoint requires beside the choice of it: a permit of its sidecar
 * while it is cold, and a grant of the limiter while it states a request limit. One object for each
 * request.
 *
 * <p>Invariants: each call has exactly one result; a grant serves one send. Thread safety: used on
 * the event loop only.
 */
final class SendClearance {

  /**
   * Longest wait for reading at the first choice; another endpoint is likely to be free sooner. It
   * is a small part of the time in which responses should begin.
   */
  private static final int MAX_READING_WAIT_MICROS = 30_000;

  /** Refusals after which the next endpoint has to take the prompt. */
  private static final int MAX_READING_REFUSALS = 3;

  private static final double NANOS_PER_MICRO = 1_000;

  private final RelayContext relay;
  private final RequestGuard guard;
  private final Set<Endpoint> refusedReading = new HashSet<>();
  private Optional<Endpoint> granted = Optional.empty();
  private boolean heldBack;
  private boolean refusedForNow;

  SendClearance(RelayContext relay, RequestGuard guard) {
    this.relay = relay;
    this.guard = guard;
  }

  /**
   * A request that is to be sent.
   *
   * @param rank priority rank, 0 being the most urgent
   * @param sendByNanos time by which it has to be sent
   * @param prompt the times of its prompt at an engine that states its pace
   * @param beginByNanos time by which its response should begin
   * @param adapterHash hash of the adapter that it needs
   * @param onCrowded called when that adapter should get a further home
   */
  record Request(
      String id,
      String customerId,
      int rank,
      long sendByNanos,
      PacedCost.Prompt prompt,
      long beginByNanos,
      OptionalLong adapterHash,
      Runnable onCrowded) {

    /** Returns the time for which the prompt may wait and still be read in time. */
    private double spareMicros(double pace, long nowNanos) {
      double left = (beginByNanos - nowNanos) / NANOS_PER_MICRO;
      return Math.max(0, left - (prompt.readMicros() + prompt.eventMicros()) * pace);
    }
  }

  /** Returns true when a send needs a clearance. */
  static boolean isNeeded(RelayContext relay, Endpoint endpoint, long nowNanos) {
    return endpoint.isCold(nowNanos)
        || endpoint.limit().isLimited()
        || grantsPrompts(relay, endpoint, nowNanos);
  }

  /** Returns true when a request limit has held the request back at any endpoint. */
  boolean heldBack() {
    return heldBack;
  }

  /**
   * Uses the grant for a send that begins now. The endpoint may have named a limit while the
   * connection was opened; then the request is placed again.
   *
   * @return false when the endpoint has a limit and no grant covers the send
   */
  boolean use(Endpoint endpoint, Runnable placeAgain) {
    boolean covered = !endpoint.limit().isLimited() || granted.filter(endpoint::equals).isPresent();
    granted = Optional.empty();
    if (!covered) {
      relay.loop().execute(guard.guarded("placement", placeAgain));
    }
    return covered;
  }

  /**
   * Passes true to {@code receiver} at the time at which the request may be sent, or false at once
   * when it may not be sent to this endpoint.
   */
  void obtain(Endpoint endpoint, Request request, Consumer<Boolean> receiver) {
    refusedForNow = false;
    if (grantsPrompts(relay, endpoint, System.nanoTime())) {
      obtainReading(endpoint, request, receiver);
    } else {
      obtainOthers(endpoint, request, receiver);
    }
  }

  /** Returns true when the last refusal was for the moment, as the endpoint reads other prompts. */
  boolean refusedForNow() {
    return refusedForNow;
  }

  /**
   * Returns true when the sidecar grants prompts: the engine's pace is known, or the streams of its
   * pool pause too long.
   */
  private static boolean grantsPrompts(RelayContext relay, Endpoint endpoint, long nowNanos) {
    return endpoint.sidecar().isPresent()
        && (endpoint.reading().isGranted()
            || relay.pauses().pausesTooLong(endpoint.pool(), nowNanos));
  }

  private void obtainReading(Endpoint endpoint, Request request, Consumer<Boolean> receiver) {
    // Another endpoint was no better, or several were no better.
    boolean mustSend =
        refusedReading.contains(endpoint) || refusedReading.size() >= MAX_READING_REFUSALS;
    long now = System.nanoTime();
    double spare = request.spareMicros(endpoint.reading().pace().cautious(now), now);
    double maxWait = mustSend ? spare : Math.min(spare, MAX_READING_WAIT_MICROS);
    ReadingPermitRequest message =
        new ReadingPermitRequest(
            0,
            (int) request.prompt().readMicros(),
            (int) request.prompt().eventMicros(),
            (int) request.prompt().pauseMicros(),
            (int) maxWait,
            mustSend);
    request.adapterHash().ifPresent(message::setAdapterHash);
    message.setPausesTooLong(relay.pauses().pausesTooLong(endpoint.pool(), now));
    endpoint
        .sidecar()
        .get()
        .requestReading(
            message,
            guard.receiver(
                "clearance", reply -> readingReplied(endpoint, request, reply, receiver)));
  }

  private void readingReplied(
      Endpoint endpoint,
      Request request,
      Optional<ReadingPermitReply> reply,
      Consumer<Boolean> receiver) {
    long now = System.nanoTime();
    EndpointReading reading = endpoint.reading();
    relay
        .metrics()
        .count("prompts", reply.map(r -> r.isGranted() ? "granted" : "refused").orElse("unasked"));
    if (reply.isEmpty()) {
      reading.sent(request.prompt().readMicros(), now);
      obtainOthers(endpoint, request, receiver);
      return;
    }
    ReadingPermitReply decided = reply.get();
    reading.readingStated(decided.getReadingMicros(), now);
    if (decided.isSetPacePercent()) {
      reading.paceStated(decided.getPacePercent(), decided.getPaceMillisAgo(), now);
    }
    if (decided.isCrowded()) {
      request.onCrowded().run();
    }
    long wait = TimeUnit.MICROSECONDS.toNanos(decided.getWaitMicros());
    if (!decided.isGranted()) {
      refusedForNow = true;
      refusedReading.add(endpoint);
      reading.waitStated(wait, now);
      receiver.accept(false);
    } else if (wait == 0) {
      obtainOthers(endpoint, request, receiver);
    } else {
      relay
          .loop()
          .schedule(
              guard.guarded("clearance", () -> obtainOthers(endpoint, request, receiver)),
              wait,
              TimeUnit.NANOSECONDS);
    }
  }

  private void obtainOthers(Endpoint endpoint, Request request, Consumer<Boolean> receiver) {
    if (!endpoint.isCold(System.nanoTime())) {
      obtainGrant(endpoint, request, receiver);
      return;
    }
    if (endpoint.sidecar().isEmpty() || !endpoint.sidecar().get().isConnected()) {
      // Without its sidecar nothing limits the requests of all gateways to a cold endpoint.
      receiver.accept(false);
      return;
    }
    long coldMillis = endpoint.coldMillis(System.nanoTime());
    endpoint
        .sidecar()
        .get()
        .requestColdPermit(
            coldMillis,
            guard.receiver(
                "clearance", reply -> coldPermitReplied(endpoint, request, reply, receiver)));
  }

  private void coldPermitReplied(
      Endpoint endpoint, Request request, ColdPermitReply reply, Consumer<Boolean> receiver) {
    if (reply.isGranted()) {
      obtainGrant(endpoint, request, receiver);
    } else {
      receiver.accept(false);
    }
  }

  private void obtainGrant(Endpoint endpoint, Request request, Consumer<Boolean> receiver) {
    if (!endpoint.limit().isLimited()) {
      receiver.accept(true);
      return;
    }
    long maxWait =
        SendSlots.maxWaitNanos(request.sendByNanos() - System.nanoTime(), request.rank());
    long customer = AdapterHomes.hash(request.customerId());
    relay
        .limits()
        .requestSend(
            endpoint,
            customer,
            maxWait,
            guard.receiver("clearance", permit -> granted(endpoint, request, permit, receiver)));
  }

  private void granted(
      Endpoint endpoint,
      Request request,
      EndpointLimits.Permit permit,
      Consumer<Boolean> receiver) {
    if (!permit.granted()) {
      heldBack = true;
      logHeldBack(endpoint, request, permit);
      receiver.accept(false);
    } else if (permit.waitNanos() == 0) {
      clear(endpoint, receiver);
    } else {
      relay
          .loop()
          .schedule(
              guard.guarded("clearance", () -> clear(endpoint, receiver)),
              permit.waitNanos(),
              TimeUnit.NANOSECONDS);
    }
  }

  private void clear(Endpoint endpoint, Consumer<Boolean> receiver) {
    granted = Optional.of(endpoint);
    receiver.accept(true);
  }

  private void logHeldBack(Endpoint endpoint, Request request, EndpointLimits.Permit permit) {
    relay
        .events()
        .recordRateLimited(
            RelayEvent.SEND_HELD_BACK,
            System.nanoTime(),
            () ->
                List.of(
                    Field.of("request", request.id()),
                    Field.of("endpoint", endpoint.instanceId()),
                    Field.of("perSecond", endpoint.limit().perSecond().orElse(-1)),
                    Field.of("rank", request.rank()),
                    Field.of("waitMillis", TimeUnit.NANOSECONDS.toMillis(permit.waitNanos()))));
  }
}
