package org.comfreygap.relay;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.comfreygap.decisions.HedgePolicy;
import org.comfreygap.decisions.HedgeRace;
import org.comfreygap.decisions.HedgeRace.Move;
import org.comfreygap.decisions.HedgeVerdict;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.RepeatPolicy;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * The attempts of one request that are in progress beside each other: the first, which its exchange
 * holds, and at most one second attempt, which is begun while the first is slow.
 *
 * <p>Invariants: a second attempt is written only while the first is in progress and unanswered,
 * and once for each request at most; the one whose output comes first goes on, and the other is
 * cancelled at once; the history says that the request may have run as soon as an attempt that was
 * written has ended otherwise than by a refusal; a silent attempt is given up only for one that is
 * written at once. Without a policy nothing happens here. Thread safety: used on the event loop
 * only.
 */
final class HedgedAttempts implements SecondAttempt.Listener, Relocation.Listener {

  private final RelayContext relay;
  private final Request request;
  private final EndpointSearch search;
  private final AttemptHistory history;
  private final CrashTrackedRequest tracked;
  private final ExchangeLog log;
  private final PauseRecorder pauses;
  private final HedgeRace race = new HedgeRace();
  private Optional<First> first = Optional.empty();
  private Optional<SecondAttempt> second = Optional.empty();
  private Optional<ScheduledFuture<?>> due = Optional.empty();
  private boolean counted;
  private Optional<First> current = Optional.empty();
  private Optional<InactivityTimer> inactivity = Optional.empty();
  private Optional<Relocation> relocation = Optional.empty();

  HedgedAttempts(
      RelayContext relay,
      Request request,
      EndpointSearch search,
      AttemptHistory history,
      CrashTrackedRequest tracked,
      ExchangeLog log) {
    this.relay = relay;
    this.request = request;
    this.search = search;
    this.history = history;
    this.tracked = tracked;
    this.log = log;
    this.pauses = new PauseRecorder(relay);
  }

  /** The request whose attempts these are. */
  interface Request extends Attempt.Owner {

    /** Returns the request as it is sent to an endpoint now. */
    FullHttpRequest requestFor(Endpoint endpoint, long nowNanos);

    /** Returns the decision for an attempt elsewhere by the newest settings, if they allow one. */
    Optional<RouteDecision> decideElsewhere();

    /** Goes on with another attempt in place of the current one, which has ended. */
    void replaceAttempt(Attempt next, RouteDecision decided);

    /** Records that an attempt has ended without a response to send on. */
    void recordFailure(
        Attempt ended, Attempt.Failure failure, Optional<ResponseEnd.Framing> framing);
  }

  /**
   * An attempt that its exchange holds.
   *
   * @param decided the request's decision now
   * @param response response of the request, to which the attempts contribute
   * @param takenUp true when the caller takes up a stream again
   */
  record First(
      Attempt attempt,
      Supplier<RouteDecision> decided,
      ResponseForwarder response,
      boolean takenUp,
      long arrivedNanos,
      long deadlineNanos) {

    RouteDecision decision() {
      return decided.get();
    }

    RequestKind kind() {
      return decision().route().kind();
    }

    First with(Attempt other) {
      return new First(other, decided, response, takenUp, arrivedNanos, deadlineNanos);
    }
  }

  /** Begins to watch an attempt that is about to start. */
  void watch(First started, long nowNanos) {
    stopTimer();
    first = Optional.empty();
    watchInactivity(started, nowNanos);
    Route route = started.decision().route();
    boolean covered = relay.hedging().filter(policy -> policy.covers(route.kind())).isPresent();
    // A stream that is taken up goes on from another run, beside which no two more may run.
    if (!covered || !route.idempotent() || started.takenUp()) {
      return;
    }
    HedgePolicy policy = relay.hedging().get();
    String pool = started.decision().pool();
    if (!counted) {
      policy.requested(pool, nowNanos);
      counted = true;
    }
    first = Optional.of(started);
    if (!race.mayBegin() || history.mayHaveRun()) {
      return;
    }
    OptionalLong delay = policy.delayNanos(pool, route.kind(), nowNanos);
    if (delay.isEmpty()) {
      suppressed(HedgeVerdict.NOT_LEARNED);
      return;
    }
    due =
        Optional.of(
            relay
                .loop()
                .schedule(
                    request.guard().guarded("second-attempt", () -> slow(started)),
                    delay.getAsLong(),
                    TimeUnit.NANOSECONDS));
  }

  /** Records that data of the current attempt was received. */
  void dataReceived(long nowNanos) {
    inactivity.ifPresent(timer -> timer.recordActivity(nowNanos));
    endRelocation();
    current.ifPresent(watched -> pauses.dataReceived(watched.decision(), nowNanos));
  }

  /** Returns true while a second attempt that was written is in progress. */
  boolean hasSecond() {
    return race.runsBoth();
  }

  /** Records that the response of the request's attempt has begun. */
  void headReceived(HttpResponse response) {
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    boolean stream = first.map(First::kind).filter(RequestKind.STREAM::equals).isPresent();
    if (SecondAttempt.isUseful(response) && !(stream && success)) {
      outputBegan();
    }
  }

  /** Records that the request's attempt has brought output: a second one is not needed. */
  void outputBegan() {
    stopTimer();
    if (first.isEmpty()) {
      return;
    }
    long now = System.nanoTime();
    recordOutput(first.get(), now);
    first = Optional.empty();
    if (race.firstUseful() == Move.DROP_SECOND) {
      dropSecond("lost", now);
    }
  }

  /**
   * Goes on with the second attempt after the first has failed, if it was written.
   *
   * @return false when there is none
   */
  boolean takeOver() {
    stopTimer();
    endRelocation();
    inactivity.ifPresent(InactivityTimer::stop);
    first = Optional.empty();
    Move move = race.firstFailed();
    if (move == Move.DROP_SECOND) {
      dropSecond("withdrawn", System.nanoTime());
    } else if (move == Move.GO_ON_WITH_SECOND) {
      goOn("took-over");
    }
    return move == Move.GO_ON_WITH_SECOND;
  }

  /** Ends the second attempt and all timers, as the request has ended. */
  void end() {
    stopTimer();
    endRelocation();
    inactivity.ifPresent(InactivityTimer::stop);
    first = Optional.empty();
    if (race.requestEnded() == Move.DROP_SECOND) {
      dropSecond("ended", System.nanoTime());
    }
  }

  @Override
  public Optional<FullHttpRequest> buildSecond(Endpoint endpoint, long nowNanos) {
    HedgeVerdict verdict = writeVerdict(endpoint, nowNanos);
    if (!verdict.sends() || !race.write()) {
      race.secondFailed();
      second = Optional.empty();
      suppressed(verdict);
      return Optional.empty();
    }
    First slow = first.orElseThrow();
    log.secondSent(slow.decision(), slow.attempt(), endpoint, nowNanos);
    relay.metrics().count("second.attempts", "sent");
    return Optional.of(request.requestFor(endpoint, nowNanos));
  }

  @Override
  public void secondUseful() {
    if (race.secondUseful() != Move.DROP_FIRST) {
      return;
    }
    long now = System.nanoTime();
    First lost = first.orElseThrow();
    Attempt attempt = lost.attempt();
    first = Optional.empty();
    // Left out, the slowest endpoint would look as fast as its other responses.
    recordOutput(lost, now);
    if (lost.kind() != RequestKind.STREAM) {
      attempt.endpoint().recordSlowness((now - attempt.sentNanos()) / 1e6);
    }
    tracked.abandoned(Optional.of(attempt), false);
    attempt.cancel();
    history.ended(Outcome.UNKNOWN);
    wasted("first", attempt, now);
    goOn("won");
  }

  @Override
  public void secondFailed(Attempt.Failure failure, boolean dropped) {
    SecondAttempt failed = second.orElseThrow();
    second = Optional.empty();
    race.secondFailed();
    Attempt attempt = failed.attempt();
    if (failure.outcome() == Outcome.UNKNOWN && dropped) {
      tracked.dropped(attempt.endpoint(), false);
    } else if (failure.outcome() == Outcome.UNKNOWN) {
      tracked.interrupted(attempt.endpoint(), false);
    }
    if (attempt.sent()) {
      history.secondEnded(failure.outcome());
      wasted("second", attempt, System.nanoTime());
    }
    failed.drop();
    request.recordFailure(attempt, failure, Optional.empty());
    ended(failure.outcome() == Outcome.NOT_RUN ? "refused" : "failed", attempt);
  }

  @Override
  public boolean mayMove(long nowNanos) {
    First silent = current.orElseThrow();
    ResponseForwarder response = silent.response();
    return silent.attempt().awaitsData()
        && !hasSecond()
        && history.runsLeftBesideCurrent(silent.decision().route())
        && (!response.started() || response.resumable())
        && silent.deadlineNanos() - nowNanos > RepeatPolicy.MIN_REMAINING_TIME.toNanos()
        && relay.hasRetry(silent.decision().pool(), nowNanos)
        && tracked.refusal(nowNanos).isEmpty()
        && !outlivesStop(silent, nowNanos);
  }

  @Override
  public void move(Attempt next, RouteDecision decision, long nowNanos) {
    relocation = Optional.empty();
    First left = current.orElseThrow();
    Attempt attempt = left.attempt();
    tracked.dropped(attempt.endpoint(), left.response().eventReceived());
    Attempt.Failure failure = attempt.abandon("no data within the inactivity timeout");
    request.recordFailure(attempt, failure, left.response().framing());
    history.ended(failure.outcome());
    // Only one that is not written yet can be beside it.
    takeOver();
    request.replaceAttempt(next, decision);
    log.sentElsewhere(decision, next.endpoint(), nowNanos);
    relay.outages().requestSent(decision.pool(), nowNanos);
    watch(left.with(next), nowNanos);
  }

  @Override
  public void stays() {
    relocation = Optional.empty();
  }

  private void slow(First watched) {
    if (first.isEmpty() || first.get() != watched) {
      return;
    }
    long now = System.nanoTime();
    EndpointSearch.Beside beside = search.beside(watched.decision(), watched.attempt(), now);
    HedgePolicy.Room room =
        new HedgePolicy.Room(
            beside.verdict(), relay.waitQueue().size(), beside.free(), beside.places());
    HedgeVerdict verdict =
        policy().decide(described(watched, now), room, retries(watched, now), now);
    if (!verdict.sends()) {
      suppressed(verdict);
      return;
    }
    race.begin();
    SecondAttempt begun =
        new SecondAttempt(relay, request, this, watched, beside.endpoint().orElseThrow(), now);
    second = Optional.of(begun);
    // Called last: an attempt may fail while it starts.
    begun.attempt().start();
  }

  private void watchInactivity(First watched, long nowNanos) {
    endRelocation();
    current = Optional.of(watched);
    inactivity.ifPresent(InactivityTimer::stop);
    inactivity =
        RequestTimeouts.inactivityTimeout(
                watched.decision().route(), watched.attempt().endpoint().latencyMillis())
            .map(
                time ->
                    new InactivityTimer(
                        relay.loop(),
                        time,
                        request.guard().guarded("inactivity", () -> attemptInactive(watched))));
    inactivity.ifPresent(timer -> timer.start(nowNanos));
  }

  /**
   * Moves the request off an endpoint that hangs before its time runs out; without another endpoint
   * waiting is the better choice, and so it is beside a second attempt.
   */
  private void attemptInactive(First waiting) {
    if (relocation.isEmpty()) {
      relocation = Optional.of(new Relocation(relay, request, search, waiting, this));
      relocation.get().begin(System.nanoTime());
    }
  }

  private void endRelocation() {
    relocation.ifPresent(Relocation::cancel);
    relocation = Optional.empty();
  }

  /** Returns true for a stream whose rest another endpoint may not bring before a planned stop. */
  private boolean outlivesStop(First begun, long nowNanos) {
    OptionalLong end = relay.stopDeadline().get();
    long rest =
        relay
            .durations()
            .maxDuration(begun.decision().route(), OptionalLong.empty(), nowNanos)
            .toNanos();
    return begun.response().started() && end.isPresent() && end.getAsLong() - nowNanos < rest;
  }

  /** Decides again, and counts the second attempt where it may be written. */
  private HedgeVerdict writeVerdict(Endpoint endpoint, long nowNanos) {
    RouteTable table = relay.tables().get();
    if (first.isEmpty() || !first.get().attempt().inProgress()) {
      return HedgeVerdict.FIRST_NOT_AWAITED;
    }
    First slow = first.get();
    if (table.revision() != slow.decision().revision()
        || !search.servesVersion(table, endpoint, nowNanos)) {
      return HedgeVerdict.VERSION_MAY_DIFFER;
    }
    if (!endpoint.acceptsRequests(nowNanos)) {
      return HedgeVerdict.NO_ALTERNATIVE;
    }
    if (SendClearance.isNeeded(relay, endpoint, nowNanos)) {
      return HedgeVerdict.ALTERNATIVE_LIMITED;
    }
    if (tracked.refusal(nowNanos).isPresent()) {
      return HedgeVerdict.SUSPECT;
    }
    HedgeVerdict verdict =
        policy().write(described(slow, nowNanos), retries(slow, nowNanos), nowNanos);
    boolean refused = verdict.sends() && !relay.tryRetry(slow.decision().pool(), nowNanos);
    return refused ? HedgeVerdict.BUDGET_KEPT : verdict;
  }

  private void goOn(String end) {
    SecondAttempt next = second.orElseThrow();
    second = Optional.empty();
    ended(end, next.attempt());
    request.replaceAttempt(next.attempt(), current.orElseThrow().decision());
    watchInactivity(current.orElseThrow().with(next.attempt()), System.nanoTime());
    next.handOver();
  }

  private void dropSecond(String end, long nowNanos) {
    SecondAttempt dropped = second.orElseThrow();
    second = Optional.empty();
    Attempt attempt = dropped.attempt();
    tracked.abandoned(Optional.of(attempt), false);
    if (attempt.sent()) {
      history.secondEnded(Outcome.UNKNOWN);
      wasted("second", attempt, nowNanos);
    }
    dropped.drop();
    ended(attempt.sent() ? end : "withdrawn", attempt);
  }

  private HedgePolicy.First described(First slow, long nowNanos) {
    Route route = slow.decision().route();
    return new HedgePolicy.First(
        slow.decision().pool(),
        route.kind(),
        slow.attempt().awaitsData(),
        tracked.isSuspect(relay.directory().pool(slow.decision().pool()), nowNanos),
        history.runsLeftBesideCurrent(route),
        slow.arrivedNanos(),
        slow.deadlineNanos(),
        TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis()));
  }

  private HedgePolicy.Retries retries(First slow, long nowNanos) {
    String pool = slow.decision().pool();
    return new HedgePolicy.Retries(
        relay.retryBudgets().remaining(pool, relay.knownGateways().get(), nowNanos),
        relay.retryBudgets().allowed(pool, relay.knownGateways().get(), nowNanos));
  }

  private void recordOutput(First began, long nowNanos) {
    policy()
        .recordOutput(
            began.decision().pool(),
            began.kind(),
            nowNanos - began.attempt().sentNanos(),
            nowNanos);
  }

  private HedgePolicy policy() {
    return relay.hedging().orElseThrow();
  }

  private void stopTimer() {
    due.ifPresent(pending -> pending.cancel(false));
    due = Optional.empty();
  }

  private void suppressed(HedgeVerdict verdict) {
    relay.metrics().count("second.attempts.suppressed", verdict.label());
  }

  private void wasted(String which, Attempt attempt, long nowNanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(nowNanos - attempt.sentNanos());
    relay.metrics().add("second.attempts.wasted.millis", which, millis);
  }

  private void ended(String end, Attempt attempt) {
    relay.metrics().count("second.attempts", end);
    log.secondEnded(attempt.endpoint(), end);
  }
}
