package org.comfreygap.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.relay.CallerRequest.TakeUp;
import org.comfreygap.runtime.Field;

/**
 * Writes the log events of one request: the decisions and the data they are based on.
 *
 * <p>Invariant: every line carries the request's id; none carries a key or a prompt. Thread safety:
 * used on the event loop only.
 */
final class ExchangeLog {

  private final RelayContext relay;
  private final CallerRequest request;
  private final long arrivedNanos;
  private final CrashTrackedRequest tracked;
  private final RequestCredit credit;
  private String lastEndpoint = "none";
  private int attempts;
  private long beganNanos;

  /** Creates the log of a request. */
  ExchangeLog(
      RelayContext relay,
      CallerRequest request,
      long arrivedNanos,
      CrashTrackedRequest tracked,
      RequestCredit credit) {
    this.relay = relay;
    this.request = request;
    this.arrivedNanos = arrivedNanos;
    this.tracked = tracked;
    this.credit = credit;
  }

  /** Logs the choice of an endpoint; repeated attempts are always logged. */
  void sent(RouteDecision decision, Endpoint endpoint, long nowNanos) {
    lastEndpoint = endpoint.instanceId();
    attempts++;
    if (attempts == 1) {
      relay
          .events()
          .recordRateLimited(
              RelayEvent.REQUEST_SENT, nowNanos, () -> sentFields(decision, endpoint, nowNanos));
    } else {
      sentElsewhere(decision, endpoint, nowNanos);
    }
  }

  /** Logs that the request, which has left a silent endpoint, is written to another one. */
  void sentElsewhere(RouteDecision decision, Endpoint endpoint, long nowNanos) {
    Field[] fields = sentFields(decision, endpoint, nowNanos).toArray(Field[]::new);
    relay.events().record(RelayEvent.REQUEST_SENT, fields);
  }

  /** Logs that a second attempt is written while the first one is slow. */
  void secondSent(RouteDecision decision, Attempt slow, Endpoint endpoint, long nowNanos) {
    relay
        .events()
        .record(
            RelayEvent.SECOND_ATTEMPT_SENT,
            id(),
            Field.of("route", decision.routeName()),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("load", endpoint.describe(nowNanos)),
            Field.of("first", slow.endpoint().instanceId()),
            Field.of("firstLoad", slow.endpoint().describe(nowNanos)),
            Field.of("waitedMillis", TimeUnit.NANOSECONDS.toMillis(nowNanos - slow.sentNanos())),
            millis());
  }

  /** Logs how a second attempt ended, or that the request goes on with it. */
  void secondEnded(Endpoint endpoint, String end) {
    relay
        .events()
        .record(
            RelayEvent.SECOND_ATTEMPT_ENDED,
            id(),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("end", end),
            millis());
  }

  /** Records that the request goes on at another endpoint, where it already is. */
  void wentOn(Endpoint endpoint) {
    lastEndpoint = endpoint.instanceId();
    attempts++;
  }

  /** Records that the first part of the response is sent to the caller. */
  void responseBegan(RouteDecision decision, long nowNanos) {
    beganNanos = nowNanos;
    relay.metrics().responseBegan(decision.route().name(), nowNanos - arrivedNanos);
  }

  void served(RouteDecision decision, int status, ResponseForwarder response, long nowNanos) {
    response.framing().ifPresent(framing -> relay.metrics().responseEnded(framing, "whole"));
    relay
        .events()
        .recordRateLimited(
            RelayEvent.REQUEST_SERVED,
            nowNanos,
            () ->
                List.of(
                    id(),
                    Field.of("route", decision.routeName()),
                    Field.of("status", status),
                    Field.of("endpoint", lastEndpoint),
                    Field.of("attempts", attempts),
                    Field.of("lastEvent", response.lastEventId().orElse("")),
                    Field.of("framing", label(response.framing())),
                    Field.of("beganMillis", beganMillis()),
                    millis()));
  }

  void refused(RouteDecision decision, Refusal refusal) {
    if (refusal.isLackOfRoom()) {
      relay.demands().refused(decision.pool());
    }
    List<Field> fields =
        new ArrayList<>(
            List.of(
                id(),
                Field.of("route", decision.routeName()),
                Field.of("status", refusal.status().code()),
                Field.of("reason", refusal.reason()),
                Field.of("retryMillis", refusal.retryMillis()),
                Field.of("customer", decision.customerName().orElse("")),
                Field.of("tokens", decision.tokens()),
                Field.of("credit", credit.describe(decision, System.nanoTime())),
                Field.of("waiting", relay.waitQueue().size()),
                Field.of("lastEndpoint", lastEndpoint),
                Field.of("revision", decision.revision()),
                millis()));
    if (refusal.isQuarantine()) {
      fields.add(Field.of("fingerprint", tracked.fingerprint()));
    }
    tracked
        .partBan(System.nanoTime())
        .filter(ban -> refusal.isPartBan())
        .ifPresent(ban -> fields.add(Field.of("parts", ban.parts())));
    if (refusal == Refusal.STOPPING && decision.refusal().isEmpty()) {
      addStop(fields, decision, System.nanoTime());
    }
    relay.events().record(RelayEvent.REQUEST_REJECTED, fields.toArray(Field[]::new));
  }

  void failed(RouteDecision decision, String reason, ResponseForwarder response) {
    relay
        .events()
        .record(
            RelayEvent.REQUEST_FAILED,
            id(),
            Field.of("route", decision.routeName()),
            Field.of("reason", reason),
            Field.of("endpoint", lastEndpoint),
            Field.of("attempts", attempts),
            Field.of("beganMillis", beganMillis()),
            Field.of("begun", response.started()),
            Field.of("lastEvent", response.lastEventId().orElse("")),
            Field.of("revision", decision.revision()),
            millis());
  }

  void abandoned(Optional<Attempt> attempt, ResponseForwarder response) {
    relay
        .events()
        .record(
            RelayEvent.REQUEST_ABANDONED,
            id(),
            Field.of("endpoint", lastEndpoint),
            Field.of("sent", attempt.map(Attempt::sent).orElse(false)),
            Field.of("attempts", attempts),
            Field.of("beganMillis", beganMillis()),
            Field.of("begun", response.started()),
            Field.of("lastEvent", response.lastEventId().orElse("")),
            millis());
  }

  /**
   * Logs an attempt that gave no response to forward.
   *
   * @param framing what would have marked the end of its response, if one began
   */
  void attemptEnded(
      RouteDecision decision,
      Endpoint endpoint,
      Attempt.Failure failure,
      Optional<ResponseEnd.Framing> framing) {
    framing.ifPresent(known -> relay.metrics().responseEnded(known, "broken-off"));
    relay
        .events()
        .record(
            RelayEvent.ATTEMPT_ENDED,
            id(),
            Field.of("route", decision.route().name()),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("outcome", failure.outcome()),
            Field.of("reason", failure.reason()),
            Field.of("framing", label(framing)),
            Field.of("fingerprint", tracked.fingerprint()),
            millis());
  }

  void adapterRefused(Endpoint endpoint, AdapterSlots.Name name, String reason) {
    relay
        .events()
        .record(
            RelayEvent.ADAPTER_REFUSED,
            id(),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("adapter", name.adapter()),
            Field.of("reason", reason),
            millis());
  }

  /** Adds for how long the request was expected to last, and the time left to the stop. */
  private void addStop(List<Field> fields, RouteDecision decision, long nowNanos) {
    Duration expected =
        relay.durations().maxDuration(decision.route(), request.timeoutMillis(), nowNanos);
    fields.add(Field.of("expectedMillis", expected.toMillis()));
    relay
        .stopDeadline()
        .get()
        .ifPresent(
            end ->
                fields.add(
                    Field.of("stopsInMillis", TimeUnit.NANOSECONDS.toMillis(end - nowNanos))));
  }

  /** Logs why a stream does not go on. */
  void notContinued(Optional<Origin> origin, Refusal refusal) {
    relay
        .events()
        .record(
            RelayEvent.STREAM_NOT_CONTINUED,
            id(),
            Field.of("pool", origin.map(Origin::pool).orElse("")),
            Field.of("version", origin.map(Origin::version).orElse("")),
            Field.of("begunBy", request.takeUp().flatMap(TakeUp::begunBy).orElse("")),
            Field.of("reason", refusal.reason()),
            millis());
  }

  private List<Field> sentFields(RouteDecision decision, Endpoint endpoint, long nowNanos) {
    return List.of(
        id(),
        Field.of("route", decision.routeName()),
        Field.of("endpoint", endpoint.instanceId()),
        Field.of("attempt", attempts),
        Field.of("load", endpoint.describe(nowNanos)),
        Field.of("zone", endpoint.zone()),
        Field.of("version", endpoint.version().orElse("")),
        Field.of("begunBy", request.takeUp().flatMap(TakeUp::begunBy).orElse("")),
        Field.of("customer", decision.customerName().orElse("")),
        Field.of("tokens", decision.tokens()),
        Field.of("rank", decision.rank()),
        Field.of("fingerprint", tracked.fingerprint()),
        Field.of("revision", decision.revision()),
        millis());
  }

  private long beganMillis() {
    return beganNanos == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(beganNanos - arrivedNanos);
  }

  private static String label(Optional<ResponseEnd.Framing> framing) {
    return framing.map(ResponseEnd.Framing::label).orElse("");
  }

  private Field id() {
    return Field.of("request", request.id());
  }

  private Field millis() {
    return Field.of("millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos));
  }
}
