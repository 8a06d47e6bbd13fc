package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.CustomerCredit.State;
import org.comfreygap.decisions.CustomerCredit.Ticket;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.RepeatPolicy;
import org.comfreygap.protocol.generated.AdapterReply;
import org.comfreygap.protocol.generated.ColdPermitReply;
import org.comfreygap.settings.RequestKind;

/**
 * One request of a caller, from its arrival to the end of its answer.
 *
 * <p>Invariants: a request that must not be repeated is sent again only after a proof that it did
 * not run; an answer that promises "not run" is given only when no try may have run and none will;
 * the caller gets one answer, and parts of one run in order. Thread safety: used on the event loop
 * only.
 */
final class Exchange implements Attempt.Owner {

  private final Relay relay;
  private final Caller caller;
  private final HttpRequest head;
  private final ByteBuf body;
  private final CallerRequest stated;
  private final long arrivedNanos;
  private final ExchangeLog log;
  private final WatchedRequest watched;
  private final Set<Endpoint> excluded = new HashSet<>();
  private RouteDecision decision;
  private long endNanos;
  private long placeEndNanos;
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<Ticket> ticket = Optional.empty();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<SilenceWatch> silence = Optional.empty();
  private AnswerPassing answer;
  private int refusals;
  private int runs;
  private boolean mayHaveRun;
  private boolean runCounted;
  private boolean over;

  Exchange(
      Relay relay,
      Caller caller,
      HttpRequest head,
      ByteBuf body,
      CallerRequest stated,
      long arrivedNanos) {
    this.relay = relay;
    this.caller = caller;
    this.head = head;
    this.body = body;
    this.stated = stated;
    this.arrivedNanos = arrivedNanos;
    this.watched = new WatchedRequest(relay.crashes(), head, body, this::customerId);
    this.log = new ExchangeLog(relay, stated.id(), arrivedNanos, watched::fingerprint);
  }

  /** Returns the urgency, 0 first. */
  int rank() {
    return decision.rank();
  }

  /** Decides on the request and sends it, or answers it at once. */
  void begin() {
    RouteTable table = relay.tables().get();
    decision = RouteDecision.of(table, head, stated);
    Optional<Refusal> refusal =
        new Admission(relay, stated, arrivedNanos).refusal(table, decision, watched);
    if (refusal.isPresent()) {
      reject(refusal.get());
      return;
    }
    relay.retries().requested(arrivedNanos);
    answer =
        new AnswerPassing(
            caller, decision.route().kind() == RequestKind.STREAM, this::answerBegins);
    long patience = stated.patienceMillis().orElse(Long.MAX_VALUE);
    long millis = Math.min(patience, decision.route().timeoutMillis());
    endNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
    timer =
        Optional.of(
            relay.loop().schedule(this::timedOut, Math.max(1, millis), TimeUnit.MILLISECONDS));
    startPlacing(arrivedNanos);
    reserve(table);
  }

  /** Looks for an endpoint and sends the request there, waits for one, or gives up. */
  void place() {
    // A late reply of a sidecar must not lead to a second attempt beside one in progress.
    if (over || attempt.map(Attempt::inProgress).orElse(false)) {
      return;
    }
    long now = System.nanoTime();
    RouteTable table = relay.tables().get();
    if (!decide(table) || endsAsQuarantined(now)) {
      return;
    }
    Optional<Placement.Need> wanted = need(table, now);
    if (wanted.isEmpty()) {
      refuse(relay.outages().noEndpoint(table.pool(decision.pool()), now));
      return;
    }
    Placement.Need need = wanted.get();
    Placement.Choice choice = relay.placement().choose(need, table, excluded, now);
    if (choice.endpoint().isEmpty()) {
      await(choice.shortage(), now);
    } else if (choice.residency() != Residency.HELD) {
      fetch(choice.endpoint().get(), need);
    } else if (choice.endpoint().get().cold(now)) {
      askPermit(choice.endpoint().get());
    } else {
      relay.placement().loadNewest(choice.endpoint().get(), need, table, now);
      send(choice.endpoint().get(), now);
    }
  }

  /** The caller has left. */
  void abandoned() {
    if (over) {
      return;
    }
    watched.givenUp(attempt);
    finish("abandoned");
    attempt.ifPresent(Attempt::cancel);
    log.abandoned(attempt, answer);
  }

  /** The caller takes bytes again, or does so no more. */
  void writabilityChanged() {
    attempt.ifPresent(current -> current.reading(caller.writable()));
  }

  @Override
  public Optional<AdapterSlots.Name> adapter() {
    return stated.adapter().map(name -> new AdapterSlots.Name(stated.model().orElse(""), name));
  }

  @Override
  public String requestId() {
    return stated.id();
  }

  @Override
  public Optional<FullHttpRequest> request(Endpoint endpoint, long nowNanos) {
    RouteTable table = relay.tables().get();
    if (over
        || !decide(table)
        || endsAsQuarantined(nowNanos)
        || !servesVersion(table, endpoint, nowNanos)) {
      return Optional.empty();
    }
    long left = TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos);
    Dispatch dispatch =
        new Dispatch(
            endpoint.instanceId(),
            decision.customerName(),
            Math.max(1, left),
            decision.rank(),
            adapter().map(endpoint::residentVersion).orElse(OptionalLong.empty()));
    return Optional.of(dispatch.request(relay.dialect(), head, body, answer.lastEventId()));
  }

  @Override
  public void head(HttpResponse response, AnswerHead stating) {
    mayHaveRun = true;
    runCounted = true;
    runs++;
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (success && !stating.signed()) {
      abandonAttempt("an answer without the endpoint's proof");
    } else if (answer.begun() && !success) {
      abandonAttempt("status " + response.status().code() + " when resuming");
    } else {
      answer.headCame(response);
    }
  }

  @Override
  public void content(ByteBuf bytes) {
    if (over || answer.head().isEmpty()) {
      bytes.release();
      return;
    }
    silence.ifPresent(watch -> watch.heard(System.nanoTime()));
    answer.content(bytes);
    if (!caller.writable()) {
      attempt.ifPresent(current -> current.reading(false));
    }
  }

  @Override
  public void complete() {
    if (over || answer.head().isEmpty()) {
      return;
    }
    HttpResponse response = answer.head().get();
    if (retriesFailure(response)) {
      attemptFailed(
          attempt.orElseThrow(),
          new Attempt.Failure(Outcome.RAN, "status " + response.status(), Optional.empty()));
    } else if (Refusal.promisesNotRun(response.status().code())) {
      // The endpoint gave no proof that it did not run the request, so its status is no promise.
      fail("the endpoint answered " + response.status().code() + " without a proof", "unproved");
    } else {
      boolean good = response.status().codeClass() != HttpStatusClass.SERVER_ERROR;
      attempt.ifPresent(current -> current.endpoint().result(good));
      if (good) {
        watched.served();
      }
      answer.complete();
      log.served(decision, response.status().code(), answer, System.nanoTime());
      finish("served");
    }
  }

  @Override
  public void failed(Attempt ended, Attempt.Failure failure) {
    if (over) {
      return;
    }
    if (failure.outcome() == Outcome.UNKNOWN) {
      watched.brokeOff(ended.endpoint());
    }
    attemptFailed(ended, failure);
  }

  private boolean decide(RouteTable table) {
    if (table.revision() == decision.revision()) {
      return true;
    }
    RouteDecision newest = RouteDecision.of(table, head, stated);
    if (newest.refusal().isPresent()) {
      giveUp(newest.refusal().get());
      return false;
    }
    decision = newest;
    return true;
  }

  private void reserve(RouteTable table) {
    if (decision.customer().isEmpty() || !table.limited(decision.customer().get().id())) {
      place();
      return;
    }
    Ticket reserved =
        relay
            .credit()
            .reserve(
                decision.customer().get().id(),
                decision.tokens(),
                decision.priority(),
                Waits.credit(decision.route()),
                arrivedNanos,
                this::creditDecided);
    if (ticket.isEmpty()) {
      ticket = Optional.of(reserved);
    }
  }

  private void creditDecided(Ticket decided) {
    ticket = Optional.of(decided);
    if (over) {
      settle();
    } else if (decided.state() == State.GRANTED) {
      place();
    } else {
      String customer = decision.customer().orElseThrow().id();
      refuse(relay.credit().refusal(customer, decided, System.nanoTime()));
    }
  }

  private void await(Placement.Shortage shortage, long now) {
    boolean late =
        now - placeEndNanos >= 0 || endNanos - now < RepeatPolicy.MIN_REMAINING_TIME.toNanos();
    boolean hopeless =
        shortage == Placement.Shortage.NONE_OPEN
            && relay.outages().outlasts(decision.pool(), placeEndNanos, now);
    if (late || hopeless) {
      giveUp(
          shortage == Placement.Shortage.ALL_FULL
              ? Refusal.FULL
              : relay.outages().noEndpoint(relay.tables().get().pool(decision.pool()), now));
      return;
    }
    relay.waiting().add(this);
  }

  private void startPlacing(long now) {
    long nanos = Waits.placing(decision.route()).toNanos();
    placeEndNanos = now + nanos;
    relay.loop().schedule(this::placingOver, nanos, TimeUnit.NANOSECONDS);
  }

  /** Ends the time for finding a place, also while an adapter is loaded. */
  private void placingOver() {
    boolean placing = !over && attempt.isEmpty() && !answer.begun();
    if (placing && System.nanoTime() - placeEndNanos >= 0) {
      boolean waits = ticket.map(taken -> taken.state() == State.WAITING).orElse(false);
      giveUp(waits ? relay.credit().noAnswer(System.nanoTime()) : Refusal.FULL);
    }
  }

  private void fetch(Endpoint endpoint, Placement.Need need) {
    AdapterSlots.Name name = need.adapter().orElseThrow();
    endpoint
        .link()
        .orElseThrow()
        .require(name, need.leastVersion(), reply -> fetched(endpoint, name, need, reply));
  }

  private void fetched(
      Endpoint endpoint, AdapterSlots.Name name, Placement.Need need, AdapterReply reply) {
    if (over) {
      return;
    }
    if (reply.isResident()) {
      endpoint.present(name, reply.getVersion());
    } else {
      relay.metrics().count("adapter.refusals", String.valueOf(reply.getReason()));
      log.adapterRefused(endpoint, name, reply.getReason());
      excluded.add(endpoint);
      refusals++;
      if (refusals > RepeatPolicy.MAX_REFUSALS) {
        giveUp(Refusal.FULL);
        return;
      }
    }
    place();
  }

  private void askPermit(Endpoint endpoint) {
    if (endpoint.link().isEmpty() || !endpoint.link().get().connected()) {
      // Nobody sees what the other gateways send there, so this one sends nothing.
      excluded.add(endpoint);
      place();
      return;
    }
    long coldMillis = endpoint.coldMillis(System.nanoTime());
    endpoint.link().get().permit(coldMillis, reply -> permit(endpoint, reply));
  }

  private void permit(Endpoint endpoint, ColdPermitReply reply) {
    if (over || attempt.map(Attempt::inProgress).orElse(false)) {
      return;
    }
    if (!reply.isGranted()) {
      excluded.add(endpoint);
      place();
      return;
    }
    send(endpoint, System.nanoTime());
  }

  private void send(Endpoint endpoint, long now) {
    Attempt started = new Attempt(relay, endpoint, this, now);
    attempt = Optional.of(started);
    runCounted = false;
    log.sent(decision, endpoint, now);
    relay.outages().sent(decision.pool(), now);
    silence =
        Waits.longestSilence(decision.route(), endpoint.latencyMillis())
            .map(longest -> new SilenceWatch(relay.loop(), longest, () -> silent(started)));
    silence.ifPresent(watch -> watch.start(now));
    // An attempt may fail while it starts, and the next one has a watch of its own then.
    started.start();
  }

  /** An endpoint that hangs must not use up the time of a request that another one can answer. */
  private void silent(Attempt waiting) {
    boolean current = !over && attempt.isPresent() && attempt.get() == waiting;
    boolean another = runs + (runCounted ? 0 : 1) < decision.route().maxAttempts();
    boolean resumable = !answer.begun() || answer.continuable();
    if (current && waiting.sent() && another && resumable && hasAnotherPlace()) {
      abandonAttempt("nothing came for long");
    }
  }

  /** Without another place, or leave to repeat, a silent endpoint is still the best hope. */
  private boolean hasAnotherPlace() {
    long now = System.nanoTime();
    RouteTable table = relay.tables().get();
    Set<Endpoint> others = new HashSet<>(excluded);
    attempt.ifPresent(current -> others.add(current.endpoint()));
    return relay.retries().remaining(relay.gateways().getAsInt(), now) >= 1
        && need(table, now)
            .flatMap(need -> relay.placement().choose(need, table, others, now).endpoint())
            .isPresent();
  }

  /** Returns what an endpoint must offer; empty when the pool is gone. */
  private Optional<Placement.Need> need(RouteTable table, long now) {
    return table
        .pool(decision.pool())
        .map(pool -> new Placement.Need(pool, stated.model(), adapter(), leastVersion(table, now)));
  }

  private void abandonAttempt(String reason) {
    Attempt current = attempt.orElseThrow();
    watched.dropped(current.endpoint());
    current.cancel();
    current.endpoint().health().failed(System.nanoTime());
    attemptFailed(current, new Attempt.Failure(Outcome.UNKNOWN, reason, Optional.empty()));
  }

  private void attemptFailed(Attempt ended, Attempt.Failure failure) {
    long now = System.nanoTime();
    boolean notRun = failure.outcome() == Outcome.NOT_RUN;
    attempt = Optional.empty();
    silence.ifPresent(SilenceWatch::stop);
    answer.drop();
    noteFailure(ended, failure);
    mayHaveRun |= !notRun;
    refusals += notRun ? 1 : 0;
    runs += !notRun && !runCounted ? 1 : 0;
    RepeatPolicy.History history =
        new RepeatPolicy.History(
            failure.outcome(),
            decision.route().idempotent(),
            refusals,
            runs,
            decision.route().maxAttempts(),
            answer.begun(),
            answer.continuable());
    boolean allowed = RepeatPolicy.allows(history, endNanos, now);
    if (allowed && (!ended.sent() || relay.retries().tryRetry(relay.gateways().getAsInt(), now))) {
      startPlacing(now);
      place();
    } else {
      giveUp(notRun ? Refusal.FULL : Refusal.broken(failure.reason()));
    }
  }

  private void noteFailure(Attempt ended, Attempt.Failure failure) {
    Endpoint endpoint = ended.endpoint();
    if (endpoint.attemptFailed(failure, adapter())) {
      excluded.add(endpoint);
    }
    if (endpoint.isSuperseded()) {
      relay.crashes().ended(endpoint, CrashWatch.Sign.NEW_START);
    }
    relay.metrics().attemptFailed(endpoint.instanceId(), failure.outcome().name());
    log.attemptEnded(decision, endpoint, failure);
  }

  private void timedOut() {
    if (over) {
      return;
    }
    boolean sent = attempt.map(Attempt::sent).orElse(false);
    mayHaveRun |= sent;
    watched.givenUp(attempt);
    attempt.ifPresent(Attempt::cancel);
    if (mayHaveRun) {
      fail("the time was over", "timeout");
    } else {
      refuse(Refusal.TIME_OVER);
    }
  }

  /** Gives the request up before another try. */
  private void giveUp(Refusal refusal) {
    if (mayHaveRun) {
      fail(refusal.reason(), "broken");
    } else {
      refuse(refusal);
    }
  }

  private void refuse(Refusal refusal) {
    finish(refusal.reason());
    tell(refusal);
  }

  /** Answers a request that was not admitted. */
  private void reject(Refusal refusal) {
    over = true;
    body.release();
    relay.metrics().count("rejected", refusal.reason());
    tell(refusal);
  }

  private void tell(Refusal refusal) {
    log.refused(decision, refusal);
    HttpHeaders headers = new DefaultHttpHeaders(false);
    refusal.retryAfter().ifPresent(text -> headers.set(HttpHeaderNames.RETRY_AFTER, text));
    caller.answer(refusal.status(), headers, refusal.body());
  }

  private void fail(String reason, String outcome) {
    finish(outcome);
    log.failed(decision, reason, answer);
    if (answer.begun()) {
      caller.abort();
      return;
    }
    boolean late = outcome.equals("timeout");
    caller.answer(
        late ? HttpResponseStatus.GATEWAY_TIMEOUT : HttpResponseStatus.BAD_GATEWAY,
        EmptyHttpHeaders.INSTANCE,
        Refusal.text(late ? "no answer in time" : "the endpoint's answer broke off"));
  }

  private void finish(String outcome) {
    over = true;
    relay.waiting().remove(this);
    silence.ifPresent(SilenceWatch::stop);
    timer.ifPresent(pending -> pending.cancel(false));
    answer.drop();
    body.release();
    settle();
    relay
        .metrics()
        .ended(
            decision.route().name(),
            decision.customerName(),
            outcome,
            System.nanoTime() - arrivedNanos);
  }

  private String customerId() {
    return decision.customer().map(known -> known.id()).orElse("");
  }

  private void settle() {
    if (ticket.isEmpty()) {
      return;
    }
    String customer = decision.customer().orElseThrow().id();
    Ticket taken = ticket.get();
    if (taken.state() == State.WAITING) {
      relay.credit().abandon(customer, taken);
    } else if (taken.state() == State.GRANTED) {
      boolean used = mayHaveRun || attempt.map(Attempt::sent).orElse(false);
      relay.credit().settle(customer, taken, used ? taken.tokens() : 0, System.nanoTime());
    }
  }

  private void answerBegins() {
    long now = System.nanoTime();
    log.began(now);
    relay.metrics().began(decision.route().name(), now - arrivedNanos);
  }

  private boolean retriesFailure(HttpResponse response) {
    return response.status().codeClass() == HttpStatusClass.SERVER_ERROR
        && !answer.begun()
        && decision.route().idempotent()
        && runs < decision.route().maxAttempts();
  }

  private long leastVersion(RouteTable table, long nowNanos) {
    return adapter().map(name -> table.leastVersion(name, nowNanos)).orElse(0L);
  }

  /** A newer version may have become due while the connection was opened. */
  private boolean servesVersion(RouteTable table, Endpoint endpoint, long nowNanos) {
    long least = leastVersion(table, nowNanos);
    boolean serves = least == 0 || endpoint.residentVersion(adapter().get()).orElse(0) >= least;
    if (!serves) {
      relay.loop().execute(this::place);
    }
    return serves;
  }

  /** A quarantine may have begun since the request arrived. */
  private boolean endsAsQuarantined(long nowNanos) {
    Optional<Duration> left = watched.quarantineLeft(nowNanos);
    left.ifPresent(time -> giveUp(Refusal.quarantined(time)));
    return left.isPresent();
  }
}
