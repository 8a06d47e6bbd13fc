package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.protocol.generated.AdapterReply;

/**
 * One request of a caller, from its arrival to the end of its response.
 *
 * <p>Invariants: a request that is not idempotent is sent again only after proof that it did not
 * run; a response that promises "not run" is sent only when no attempt may have run and none will;
 * the caller gets one response, with the parts of one run in order. Thread safety: used on the
 * event loop only.
 */
final class Exchange implements HedgedAttempts.Request, RequestEnd.Request {

  private final RelayContext relay;
  private final CallerResponse caller;
  private final RequestGuard guard;
  private final RequestEnd end;
  private final HttpRequest head;
  private final ByteBuf body;
  private final CallerRequest request;
  private final long arrivedNanos;
  private final ExchangeLog log;
  private final CrashTrackedRequest tracked;
  private final SendClearance clearance;
  private final RequestCredit credit;
  private final StreamContinuity continuity;
  private final RetryAllowance retry;
  private final EndpointSearch search;
  private final AttemptHistory history = new AttemptHistory();
  private final HedgedAttempts hedged;
  private RouteDecision decision;
  private long deadlineNanos;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<Attempt> attempt = Optional.empty();
  private ResponseForwarder forwarder;

  Exchange(
      RelayContext relay,
      Caller caller,
      HttpRequest head,
      ByteBuf body,
      CallerRequest request,
      long arrivedNanos) {
    this.relay = relay;
    this.caller = new CallerResponse(caller);
    this.guard = new RequestGuard(relay, request.id(), this::endAfterError);
    this.head = head;
    this.body = body;
    this.request = request;
    this.arrivedNanos = arrivedNanos;
    this.tracked =
        new CrashTrackedRequest(
            relay.crashes(),
            relay.usage(),
            head,
            body,
            request.sharedParts(),
            () -> decision.customerId().orElse(""));
    this.clearance = new SendClearance(relay, guard);
    this.credit = new RequestCredit(relay.credit(), history);
    this.continuity = new StreamContinuity(relay, request, RouteDecision.path(head.uri()));
    this.retry = new RetryAllowance(relay);
    this.search = new EndpointSearch(relay, request, continuity);
    this.log = new ExchangeLog(relay, request, arrivedNanos, tracked, credit);
    this.hedged = new HedgedAttempts(relay, this, search, history, tracked, log);
    this.end = new RequestEnd(relay, guard, this.caller, this, history, tracked, log, body);
  }

  /** Returns the priority rank, 0 being the most urgent. */
  int rank() {
    return decision.rank();
  }

  /** Admits the request and places it, or refuses it. */
  void begin() {
    guard.run("arrival", this::admit);
  }

  private void admit() {
    RouteTable table = relay.tables().get();
    decision = RouteDecision.of(table, head, request);
    Optional<Refusal> refusal =
        new Admission(relay, request, arrivedNanos).refusal(table, decision, tracked);
    if (refusal.isPresent()) {
      end.reject(refusal.get());
      return;
    }
    relay.retryBudgets().requested(decision.pool(), arrivedNanos);
    forwarder = createForwarder();
    long patience = request.timeoutMillis().orElse(Long.MAX_VALUE);
    long millis = Math.min(patience, decision.route().timeoutMillis());
    deadlineNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    registerEnd();
    timer = Optional.of(schedule("timeout", this::timedOut, TimeUnit.MILLISECONDS.toNanos(millis)));
    startPlacement(arrivedNanos);
    continuity.begin(decision.route(), this::place);
    credit.reserve(decision, table, arrivedNanos, guard.guarded("credit", this::creditDecided));
  }

  /** Chooses an endpoint and sends the request there, waits for one, or ends the request. */
  void place() {
    guard.run("placement", this::tryPlace);
  }

  private void tryPlace() {
    // A late reply of a sidecar must not start a second attempt while one is in progress.
    if (end.hasEnded() || hasAttempt() || continuity.isResolving() || credit.isWaiting()) {
      return;
    }
    long now = System.nanoTime();
    RouteTable table = relay.tables().get();
    if (!refreshDecision(table) || endIfQuarantined(now) || endIfNotContinued()) {
      return;
    }
    if (!credit.covers(decision)) {
      // Each run is charged to the customer for which it is sent.
      tracked.customerChanged();
      credit.reserve(decision, table, now, guard.guarded("credit", this::creditDecided));
      return;
    }
    Optional<Placement.Requirements> needed = search.requirements(decision, table, now);
    if (needed.isEmpty()) {
      end.failOrRefuse(relay.outages().noEndpoint(table.pool(decision.pool()), now));
      return;
    }
    Placement.Requirements need = needed.get();
    Placement.Choice choice = search.choose(need, table, now);
    if (choice.endpoint().isEmpty()) {
      waitForEndpoint(choice.shortage(), now);
    } else if (choice.residency() != Residency.HELD) {
      Endpoint endpoint = choice.endpoint().get();
      search.requestAdapter(
          endpoint, need, guard.receiver("adapter", reply -> adapterReplied(endpoint, reply)));
    } else if (SendClearance.isNeeded(relay, choice.endpoint().get(), now)) {
      obtainClearance(choice.endpoint().get());
    } else {
      relay.placement().preloadNewestVersion(choice.endpoint().get(), need, table, now);
      send(choice.endpoint().get(), now);
    }
  }

  /** Called when the caller has disconnected. */
  void callerDisconnected() {
    caller.callerGone();
    guard.run("disconnect", end::callerGone);
  }

  /** Ends the request because the gateway's planned stop is over. */
  void gatewayStops() {
    guard.run("stop", () -> end.interrupt(Refusal.STOPPING, "the gateway stops", "stopped"));
  }

  /** Called when the caller's connection has become writable or stopped being so. */
  void writabilityChanged() {
    guard.run(
        "writability", () -> attempt.ifPresent(current -> current.setAutoRead(caller.writable())));
  }

  @Override
  public boolean readCaller() {
    return caller.readArrived();
  }

  @Override
  public RequestGuard guard() {
    return guard;
  }

  @Override
  public RouteDecision decision() {
    return decision;
  }

  @Override
  public Optional<Attempt> attempt() {
    return attempt;
  }

  @Override
  public ResponseForwarder forwarder() {
    return forwarder;
  }

  @Override
  public Optional<AdapterSlots.Name> adapter() {
    return search.adapter();
  }

  @Override
  public String requestId() {
    return request.id();
  }

  @Override
  public Optional<FullHttpRequest> buildRequest(Endpoint endpoint, long nowNanos) {
    return guard.get("send", () -> requestForNewestSettings(endpoint, nowNanos), Optional.empty());
  }

  private Optional<FullHttpRequest> requestForNewestSettings(Endpoint endpoint, long nowNanos) {
    RouteTable table = relay.tables().get();
    ResponseForwarder placedWith = forwarder;
    if (end.hasEnded()
        || !refreshDecision(table)
        || endIfQuarantined(nowNanos)
        || placedAgain(table, endpoint, placedWith, nowNanos)
        || !retry.use(decision.pool(), nowNanos, () -> end.failOrRefuse(Refusal.FULL))
        || !clearance.use(endpoint, this::place)) {
      return Optional.empty();
    }
    continuity.attempting(
        endpoint, decision.route(), guard.guarded("origin", this::originRecorded));
    return Optional.of(requestFor(endpoint, nowNanos));
  }

  @Override
  public FullHttpRequest requestFor(Endpoint endpoint, long nowNanos) {
    long left = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos);
    Dispatch dispatch =
        new Dispatch(
            endpoint.instanceId(),
            decision.customerName(),
            Math.max(1, left),
            decision.rank(),
            search.residentVersion(endpoint));
    return dispatch.toRequest(relay.dialect(), head, body, forwarder.lastEventId());
  }

  @Override
  public void onHead(HttpResponse response, ResponseHead metadata) {
    history.responseBegan();
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success && !metadata.signed()) {
      abandon(current -> current.abandon("a successful response without the endpoint's proof"));
    } else if (forwarder.started() && !success) {
      abandon(c -> c.abandon("status " + response.status().code() + " when resuming"));
    } else {
      forwarder.beginResponse(response);
      tracked.headReceived(decision.route().kind());
      hedged.headReceived(response);
    }
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (end.hasEnded() || forwarder.head().isEmpty()) {
      bytes.release();
      return;
    }
    hedged.dataReceived(System.nanoTime());
    if (continuity.holds()) {
      hedged.outputBegan();
      boolean readOn = continuity.hold(bytes);
      attempt.ifPresent(current -> current.setAutoRead(readOn));
      return;
    }
    boolean begunBefore = forwarder.eventReceived();
    forwarder.appendBody(bytes, attempt.map(Attempt::receivedBytes).orElse(0L));
    if (!begunBefore && forwarder.eventReceived()) {
      tracked.began();
      continuity.eventForwarded();
      hedged.outputBegan();
    }
    forwarder.excess().ifPresent(excess -> abandon(current -> current.abandon(excess)));
    if (!caller.writable()) {
      attempt.ifPresent(current -> current.setAutoRead(false));
    }
  }

  @Override
  public void onComplete() {
    // What is held back is forwarded, and completed, once the origin is on record.
    if (end.hasEnded() || forwarder.head().isEmpty() || continuity.holds()) {
      return;
    }
    HttpResponse response = forwarder.head().get();
    Attempt ended = attempt.orElseThrow();
    ResponseEnd how = forwarder.end(ended.endpointState());
    if (how != ResponseEnd.WHOLE) {
      ended.endpoint().health().failed(System.nanoTime());
      onFailure(ended, Attempt.Failure.unknown(how.reason()));
    } else if (shouldRetry(response)) {
      attemptFailed(
          ended, new Attempt.Failure(Outcome.RAN, "status " + response.status(), Optional.empty()));
    } else if (Refusal.promisesNotRun(response.status().code())) {
      // Without proof that the request did not run, the status must not reach the caller.
      end.fail("status " + response.status().code() + " without a not-run proof", "unproved");
    } else {
      forwarder.complete();
      learn(ended.endpoint(), response);
      log.served(decision, response.status().code(), forwarder, System.nanoTime());
      end.served();
    }
  }

  private void learn(Endpoint endpoint, HttpResponse response) {
    boolean succeeded = response.status().codeClass() != HttpStatusClass.SERVER_ERROR;
    endpoint.recordResult(succeeded);
    if (succeeded) {
      tracked.served();
      relay
          .durations()
          .served(decision.route(), request, response, arrivedNanos, System.nanoTime());
    }
  }

  @Override
  public Optional<RouteDecision> decideElsewhere() {
    return Optional.of(decision.by(relay.tables().get(), head, request))
        .filter(newest -> newest.refusal().isEmpty() && credit.covers(newest))
        .filter(newest -> newest.route().idempotent() && newest.isStream() == decision.isStream())
        .map(continuity::pinned)
        .filter(newest -> continuity.refusal(newest).isEmpty());
  }

  @Override
  public void replaceAttempt(Attempt next, RouteDecision decided) {
    decision = decided;
    attempt = Optional.of(next);
    history.begin();
    log.wentOn(next.endpoint());
    forwarder.discardUnsent();
    continuity.discardHeld();
    continuity.attempting(
        next.endpoint(), decision.route(), guard.guarded("origin", this::originRecorded));
  }

  @Override
  public void recordFailure(
      Attempt ended, Attempt.Failure failure, Optional<ResponseEnd.Framing> framing) {
    Endpoint endpoint = ended.endpoint();
    if (endpoint.recordFailure(failure, adapter())) {
      search.exclude(endpoint);
    }
    if (endpoint.isSuperseded()) {
      relay.crashes().endpointEnded(endpoint, CrashDetector.Detection.NEW_START);
    }
    relay.metrics().attemptFailed(endpoint.instanceId(), failure.outcome().name());
    log.attemptEnded(decision, endpoint, failure, framing);
  }

  private void abandon(Function<Attempt, Attempt.Failure> how) {
    Attempt current = attempt.orElseThrow();
    tracked.dropped(current.endpoint(), forwarder.eventReceived());
    attemptFailed(current, how.apply(current));
  }

  @Override
  public void onFailure(Attempt ended, Attempt.Failure failure) {
    if (end.hasEnded()) {
      return;
    }
    if (failure.outcome() == Outcome.UNKNOWN) {
      tracked.interrupted(ended.endpoint(), forwarder.eventReceived());
    }
    attemptFailed(ended, failure);
  }

  /** Returns true while an attempt is in progress or held back. */
  private boolean hasAttempt() {
    return continuity.holds() || attempt.map(Attempt::inProgress).orElse(false);
  }

  /** Decides by the newest tables; false when they end the request. */
  private boolean refreshDecision(RouteTable table) {
    RouteDecision newest = decision.by(table, head, request);
    if (newest.refusal().isPresent()) {
      end.failOrRefuse(newest.refusal().get());
    } else if (!history.allowsAttemptBy(newest.route())) {
      end.failOrRefuse(Refusal.attemptFailed("the route allows no further attempt"));
    } else {
      decision = newest;
      if (forwarder.isStreamed() != decision.isStream() && !forwarder.started()) {
        forwarder = createForwarder();
      }
    }
    return !end.hasEnded();
  }

  private ResponseForwarder createForwarder() {
    return new ResponseForwarder(
        caller,
        decision.isStream(),
        relay.heldBytes(),
        () -> log.responseBegan(decision, System.nanoTime()));
  }

  /** Forwards what was held back, or fails the attempt whose origin could not be recorded. */
  private void originRecorded() {
    if (end.hasEnded() || attempt.isEmpty()) {
      return;
    }
    if (continuity.failed()) {
      Attempt current = attempt.get();
      current.cancel();
      attemptFailed(current, Attempt.Failure.unknown(StreamContinuity.NOT_RECORDED));
      return;
    }
    attempt.get().setAutoRead(true);
    continuity.takeHeld().ifPresent(this::onContent);
    if (!attempt.map(Attempt::inProgress).orElse(true)) {
      onComplete();
    }
  }

  /** Ends a stream that cannot go on where it began, and returns whether it ended. */
  private boolean endIfNotContinued() {
    decision = continuity.pinned(decision);
    Optional<Refusal> refusal = continuity.refusal(decision);
    if (refusal.isPresent()) {
      log.notContinued(continuity.required(), refusal.get());
      end.failOrRefuse(refusal.get());
    }
    return refusal.isPresent();
  }

  private void creditDecided() {
    if (end.hasEnded()) {
      return;
    }
    long now = System.nanoTime();
    Optional<Refusal> refusal = credit.refusal(now);
    // A refusal binds the customer that is charged, whose request this may be no longer.
    if (refusal.isPresent() && refreshDecision(relay.tables().get()) && credit.covers(decision)) {
      end.failOrRefuse(refusal.get());
    } else if (!end.hasEnded()) {
      place();
    }
  }

  private void waitForEndpoint(Placement.Shortage shortage, long now) {
    Optional<Refusal> refusal =
        ShortageDecision.refusal(
            relay,
            decision.pool(),
            clearance.heldBack() ? shortage.whenHeldBack() : shortage,
            search.deadlineNanos(),
            deadlineNanos,
            now);
    refusal.ifPresentOrElse(end::failOrRefuse, () -> relay.waitQueue().add(this, decision.pool()));
  }

  private void startPlacement(long now) {
    long nanos = RequestTimeouts.placementTimeout(decision.route()).toNanos();
    search.begin(nanos, now);
    schedule("placement-timeout", this::placementExpired, nanos);
  }

  /** Ends the time for placement, also while an adapter is being loaded. */
  private void placementExpired() {
    boolean placing = !end.hasEnded() && attempt.isEmpty() && !forwarder.started();
    if (placing && System.nanoTime() - search.deadlineNanos() >= 0) {
      end.failOrRefuse(
          credit.isWaiting() ? relay.credit().timeoutRefusal(System.nanoTime()) : Refusal.FULL);
    }
  }

  private void adapterReplied(Endpoint endpoint, AdapterReply reply) {
    if (end.hasEnded()) {
      return;
    }
    if (reply.isResident()) {
      endpoint.markPresent(adapter().orElseThrow(), reply.getVersion());
    } else {
      search.adapterRefused(endpoint, reply.getReason(), log);
      if (history.refusedBeforeSend()) {
        end.failOrRefuse(Refusal.FULL);
        return;
      }
    }
    place();
  }

  private void obtainClearance(Endpoint endpoint) {
    clearance.obtain(
        endpoint,
        search.clearanceRequest(decision),
        guard.receiver("clearance", cleared -> clearanceDecided(endpoint, cleared)));
  }

  private void clearanceDecided(Endpoint endpoint, boolean cleared) {
    if (end.hasEnded() || hasAttempt()) {
      return;
    }
    long now = System.nanoTime();
    boolean open = endpoint.acceptsRequests(now) && relay.tables().get().zoneIn(endpoint.zone());
    if (cleared && open) {
      send(endpoint, now);
      return;
    }
    search.notCleared(endpoint, clearance.refusedForNow());
    place();
  }

  private void send(Endpoint endpoint, long now) {
    Attempt started = new Attempt(relay, endpoint, this, request.promptTokens(), now);
    attempt = Optional.of(started);
    history.begin();
    log.sent(decision, endpoint, now);
    relay.outages().requestSent(decision.pool(), now);
    boolean takenUp = request.takeUp().isPresent();
    hedged.watch(
        new HedgedAttempts.First(
            started, () -> decision, forwarder, takenUp, arrivedNanos, deadlineNanos),
        now);
    // Called last: an attempt may fail while it starts, and the next one replaces the timer.
    started.start();
  }

  private void attemptFailed(Attempt ended, Attempt.Failure failure) {
    long now = System.nanoTime();
    attempt = Optional.empty();
    Optional<ResponseEnd.Framing> framing = forwarder.framing();
    forwarder.discardUnsent();
    continuity.discardHeld();
    recordFailure(ended, failure, framing);
    history.ended(failure.outcome());
    if (hedged.takeOver()) {
      return;
    }
    boolean allowed =
        history.allowsAnother(failure.outcome(), decision.route(), forwarder, deadlineNanos, now);
    if (allowed && (!ended.sent() || retry.obtain(decision.pool(), now))) {
      startPlacement(now);
      place();
    } else {
      end.failOrRefuse(failure.lastRefusal());
    }
  }

  private void timedOut() {
    end.interrupt(Refusal.TIMED_OUT, "the request timed out", "timeout");
  }

  private void endAfterError() {
    end.afterError();
  }

  private void registerEnd() {
    end.with("attempts", hedged::end)
        .with("attempt", () -> attempt.ifPresent(Attempt::cancel))
        .with("wait-queue", () -> relay.waitQueue().remove(this))
        .with("timer", () -> timer.ifPresent(pending -> pending.cancel(false)))
        .with("unsent-response", () -> forwarder.discardUnsent())
        .with("held-response", continuity::discardHeld)
        .with(
            "settlement",
            () -> credit.settle(attempt.map(Attempt::sent).orElse(false), System.nanoTime()))
        .with("metrics", () -> end.count(arrivedNanos));
  }

  private ScheduledFuture<?> schedule(String step, Runnable task, long nanos) {
    return relay.loop().schedule(guard.guarded(step, task), nanos, TimeUnit.NANOSECONDS);
  }

  private boolean shouldRetry(HttpResponse response) {
    return (response.status().codeClass() == HttpStatusClass.SERVER_ERROR
            || (hedged.hasSecond() && !SecondAttempt.isUseful(response)))
        && !forwarder.started()
        && decision.route().idempotent()
        && history.runsLeft(decision.route());
  }

  /** Places the request again, and returns true, if newer settings exclude the endpoint. */
  private boolean placedAgain(
      RouteTable table, Endpoint endpoint, ResponseForwarder placedWith, long nowNanos) {
    boolean fits =
        placedWith == forwarder
            && endpoint.pool().equals(decision.pool())
            && credit.covers(decision)
            && search.servesVersion(table, endpoint, nowNanos);
    if (!fits) {
      relay.loop().execute(this::place);
    }
    return !fits;
  }

  /** Ends the request and returns true when it was quarantined after its arrival. */
  private boolean endIfQuarantined(long nowNanos) {
    Optional<Refusal> refusal = tracked.refusal(nowNanos);
    refusal.ifPresent(end::failOrRefuse);
    return refusal.isPresent();
  }
}
