package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.PlacementCost.Residency;
import org.comfreygap.decisions.RepeatPolicy;
import org.comfreygap.protocol.generated.AdapterReply;

/**
 * The move of a request from an endpoint that is silent to another one, which is chosen, cleared
 * and connected to first.
 *
 * <p>Invariants: the attempt in progress goes on until the next one is about to be written; the
 * retry is counted at that write, and only then; where no other endpoint can take the request, or
 * it must not leave any more, nothing changes. One object moves a request once at most. Thread
 * safety: used on the event loop only.
 */
final class Relocation implements Attempt.Owner {

  private final RelayContext relay;
  private final HedgedAttempts.Request request;
  private final EndpointSearch search;
  private final HedgedAttempts.First silent;
  private final Listener listener;
  private final SendClearance clearance;
  private final Set<Endpoint> tried = new HashSet<>();
  private Optional<Attempt> next = Optional.empty();
  private boolean ended;
  private boolean moved;

  Relocation(
      RelayContext relay,
      HedgedAttempts.Request request,
      EndpointSearch search,
      HedgedAttempts.First silent,
      Listener listener) {
    this.relay = relay;
    this.request = request;
    this.search = search;
    this.silent = silent;
    this.listener = listener;
    this.clearance = new SendClearance(relay, request.guard());
    tried.add(silent.attempt().endpoint());
  }

  /** Decides on a move and carries it out. */
  interface Listener {

    /** Returns true while the request may leave its endpoint. */
    boolean mayMove(long nowNanos);

    /** Ends the attempt in progress; the next one is written at once. */
    void move(Attempt next, RouteDecision decision, long nowNanos);

    /** Called when the request stays where it is. */
    void stays();
  }

  /** Looks for the next endpoint; the listener may be called before this returns. */
  void begin(long nowNanos) {
    search.begin(RequestTimeouts.placementTimeout(silent.decision().route()).toNanos(), nowNanos);
    tryNext();
  }

  /** Ends the search; the listener is not called any more. */
  void cancel() {
    ended = true;
    next.ifPresent(Attempt::cancel);
  }

  @Override
  public Optional<FullHttpRequest> buildRequest(Endpoint endpoint, long nowNanos) {
    Optional<RouteDecision> decision = decide(nowNanos).filter(d -> canTake(d, endpoint, nowNanos));
    if (decision.isEmpty()) {
      stay();
      return Optional.empty();
    }
    moved = true;
    listener.move(next.orElseThrow(), decision.get(), nowNanos);
    return Optional.of(request.requestFor(endpoint, nowNanos));
  }

  @Override
  public boolean readCaller() {
    return request.readCaller();
  }

  @Override
  public RequestGuard guard() {
    return request.guard();
  }

  @Override
  public Optional<AdapterSlots.Name> adapter() {
    return request.adapter();
  }

  @Override
  public String requestId() {
    return request.requestId();
  }

  @Override
  public void onHead(HttpResponse response, ResponseHead stated) {
    request.onHead(response, stated);
  }

  @Override
  public void onContent(ByteBuf bytes) {
    request.onContent(bytes);
  }

  @Override
  public void onComplete() {
    request.onComplete();
  }

  @Override
  public void onFailure(Attempt failed, Attempt.Failure failure) {
    if (moved) {
      request.onFailure(failed, failure);
      return;
    }
    request.recordFailure(failed, failure, Optional.empty());
    next = Optional.empty();
    tryNext();
  }

  private Optional<RouteDecision> decide(long nowNanos) {
    return !ended && listener.mayMove(nowNanos) ? request.decideElsewhere() : Optional.empty();
  }

  /** Returns true when an endpoint can be written to now, and counts the retry then. */
  private boolean canTake(RouteDecision decision, Endpoint endpoint, long nowNanos) {
    return endpoint.pool().equals(decision.pool())
        && endpoint.acceptsRequests(nowNanos)
        && search.isWhereItBegan(endpoint)
        && search.servesVersion(relay.tables().get(), endpoint, nowNanos)
        && relay.hasRetry(decision.pool(), nowNanos)
        && clearance.use(endpoint, () -> {})
        && relay.tryRetry(decision.pool(), nowNanos);
  }

  private void tryNext() {
    if (ended) {
      return;
    }
    long now = System.nanoTime();
    RouteTable table = relay.tables().get();
    Optional<RouteDecision> decision =
        tried.size() <= RepeatPolicy.MAX_REFUSALS ? decide(now) : Optional.empty();
    Optional<Placement.Requirements> need =
        decision.flatMap(decided -> search.requirements(decided, table, now));
    Optional<Placement.Choice> choice =
        need.map(needed -> search.chooseOther(needed, table, tried, now))
            .filter(found -> found.endpoint().isPresent());
    if (choice.isEmpty()) {
      stay();
      return;
    }
    Endpoint endpoint = choice.get().endpoint().get();
    tried.add(endpoint);
    if (choice.get().residency() == Residency.HELD) {
      clear(endpoint, decision.get());
    } else {
      search.requestAdapter(
          endpoint,
          need.get(),
          guard().receiver("adapter", reply -> adapterReplied(endpoint, decision.get(), reply)));
    }
  }

  private void adapterReplied(Endpoint endpoint, RouteDecision decision, AdapterReply reply) {
    if (reply.isResident()) {
      endpoint.markPresent(adapter().orElseThrow(), reply.getVersion());
      clear(endpoint, decision);
    } else {
      tryNext();
    }
  }

  private void clear(Endpoint endpoint, RouteDecision decision) {
    if (ended) {
      return;
    }
    if (SendClearance.isNeeded(relay, endpoint, System.nanoTime())) {
      clearance.obtain(
          endpoint,
          search.clearanceRequest(decision),
          cleared -> clearanceDecided(endpoint, cleared));
    } else {
      connect(endpoint);
    }
  }

  private void clearanceDecided(Endpoint endpoint, boolean cleared) {
    if (cleared) {
      connect(endpoint);
    } else {
      tryNext();
    }
  }

  private void connect(Endpoint endpoint) {
    if (ended) {
      return;
    }
    Attempt begun = silent.attempt().beside(endpoint, this, System.nanoTime());
    next = Optional.of(begun);
    // Called last: an attempt may fail while it starts.
    begun.start();
  }

  private void stay() {
    if (!ended) {
      ended = true;
      listener.stays();
    }
  }
}
