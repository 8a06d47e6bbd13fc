package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.channels.ClosedChannelException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.Outcome;
import org.comfreygap.decisions.ReadingSpeed;
import org.comfreygap.decisions.ResponseEnd;
import org.comfreygap.decisions.ResponseMatch;
import org.comfreygap.runtime.Field;

/**
 * One attempt to have a request served by one endpoint.
 *
 * <p>Invariants: the request is written at most once; the owner is notified of exactly one end,
 * unless the attempt was cancelled; each increment of the endpoint's counters has its decrement.
 * Thread safety: used on the event loop only.
 */
final class Attempt implements EndpointConnection.Listener {

  /**
   * Longest delay of the end of a sound response without length, while its endpoint does not reply;
   * a reply takes a round trip.
   */
  static final Duration END_CHECK_TIMEOUT = Duration.ofMillis(200);

  /** Time in which all connections of an ended endpoint are seen to be closed. */
  static final Duration REFUSAL_DELAY = Duration.ofMillis(20);

  /**
   * Time after which an endpoint that ends at a deadline is checked. While its process ends, it may
   * close one connection before it refuses others.
   */
  static final Duration DEADLINE_CHECK_DELAY = Duration.ofMillis(100);

  private final RelayContext relay;
  private final Endpoint endpoint;
  private final Owner owner;
  private final OptionalLong promptTokens;
  private final long startNanos;
  private Optional<EndpointConnection> connection = Optional.empty();
  private Optional<ResponseHead> refusal = Optional.empty();
  private Optional<Runnable> endUse = Optional.empty();
  private long sentNanos;
  private long lastPartNanos;
  private boolean sent;
  private boolean responseBegun;
  private boolean responseEnded;
  private boolean finished;
  private ResponseEnd.Framing framing = ResponseEnd.Framing.LENGTH;
  private ResponseEnd.Endpoint endpointState = ResponseEnd.Endpoint.UNKNOWN;

  Attempt(
      RelayContext relay,
      Endpoint endpoint,
      Owner owner,
      OptionalLong promptTokens,
      long startNanos) {
    this.relay = relay;
    this.endpoint = endpoint;
    this.owner = owner;
    this.promptTokens = promptTokens;
    this.startNanos = startNanos;
  }

  /** Supplies the request and receives the events of an attempt. */
  interface Owner {

    /** Returns the request to send, or empty when it must no longer be sent. */
    Optional<FullHttpRequest> buildRequest(Endpoint endpoint, long nowNanos);

    /**
     * Reads what the caller has sent meanwhile, which may end the request.
     *
     * @return false when the caller has gone and the request is about to end
     */
    boolean readCaller();

    /** Returns what keeps an error in a step of the request from others. */
    RequestGuard guard();

    /** Returns the adapter that the request needs. */
    Optional<AdapterSlots.Name> adapter();

    /** Returns the id that the response must carry. */
    String requestId();

    /** Called with the head of the response to a request that ran. */
    void onHead(HttpResponse response, ResponseHead stated);

    /** Called with parts of that response's body, which the owner releases. */
    void onContent(ByteBuf bytes);

    /** Called when the response is complete. */
    void onComplete();

    /** Called when the attempt ended without a complete response to a request that ran. */
    void onFailure(Attempt attempt, Failure failure);
  }

  /**
   * Why an attempt ended.
   *
   * @param outcome whether the request ran, as far as is known
   * @param refusal head of the endpoint's refusal, if it sent one
   */
  record Failure(Outcome outcome, String reason, Optional<ResponseHead> refusal) {

    /** Returns the failure of an attempt that may have run. */
    static Failure unknown(String reason) {
      return new Failure(Outcome.UNKNOWN, reason, Optional.empty());
    }

    /** Returns what the caller is told when no other attempt is made. */
    Refusal lastRefusal() {
      return outcome == Outcome.NOT_RUN ? Refusal.FULL : Refusal.attemptFailed(reason);
    }
  }

  /** Returns an attempt at another endpoint with the same prompt; it is not started. */
  Attempt beside(Endpoint other, Owner otherOwner, long nowNanos) {
    return new Attempt(relay, other, otherOwner, promptTokens, nowNanos);
  }

  Endpoint endpoint() {
    return endpoint;
  }

  boolean sent() {
    return sent;
  }

  /** Returns the time at which the request was written, once it was. */
  long sentNanos() {
    return sentNanos;
  }

  /** Returns true while more of the response is due. */
  boolean awaitsData() {
    return sent && !responseEnded;
  }

  /** Returns the number of bytes received for the request, with the framing of its response. */
  long receivedBytes() {
    return connection.map(EndpointConnection::receivedBytes).orElse(0L);
  }

  /** Returns what is known of the endpoint after a response that ended with its connection. */
  ResponseEnd.Endpoint endpointState() {
    return endpointState;
  }

  /** Returns true until the attempt has ended or was cancelled. */
  boolean inProgress() {
    return !finished;
  }

  /** Acquires a connection and sends the request. */
  void start() {
    endpoint.attemptStarted();
    endpoint.health().dispatched(startNanos);
    endpoint.silence().dispatched(startNanos);
    endpoint
        .connections()
        .acquire(
            startNanos,
            owner.requestId(),
            owner.guard().receiver("connection", this::connectionReady),
            owner.guard().receiver("connection-failure", this::connectionFailed));
  }

  /** Cancels the attempt; its owner gets no further callbacks. */
  void cancel() {
    if (!finished) {
      finish();
      connection.ifPresent(EndpointConnection::cancel);
    }
  }

  /** Cancels the attempt, which counts as a failure of its endpoint if that is the cause. */
  Failure abandon(HeldBuffer.Excess excess) {
    if (excess.byEndpoint()) {
      recordExcess(excess.reason());
      return abandon(excess.reason());
    }
    cancel();
    return Failure.unknown(excess.reason());
  }

  /** Cancels the attempt, which counts as a failure of its endpoint. */
  Failure abandon(String reason) {
    cancel();
    endpoint.health().failed(System.nanoTime());
    return Failure.unknown(reason);
  }

  /** Resumes or pauses reading the response; a connection that has brought it may carry another. */
  void setAutoRead(boolean enabled) {
    if (awaitsData()) {
      connection.ifPresent(open -> open.setAutoRead(enabled));
    }
  }

  @Override
  public void onHead(HttpResponse response, ResponseHead stated) {
    owner.guard().run("response-head", () -> headReceived(response, stated));
  }

  private void headReceived(HttpResponse response, ResponseHead stated) {
    long now = System.nanoTime();
    stated.load().ifPresent(load -> endpoint.recordLoad(load, now));
    relay.limits().responseRead(endpoint, stated, sentNanos, now);
    endpoint.health().succeeded();
    endpoint.responseReceived(now);
    if (stated.verdict() != ResponseHead.Verdict.RAN) {
      refusal = Optional.of(stated);
      return;
    }
    markResponseBegun();
    framing = ResponseFraming.of(response);
    owner.onHead(response, stated);
  }

  @Override
  public void onMismatch(HttpResponse response, ResponseMatch match) {
    relay.metrics().count("responses.distrusted", match.label());
    relay
        .events()
        .record(
            RelayEvent.RESPONSE_DISTRUSTED,
            Field.of("request", owner.requestId()),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("status", response.status().code()),
            Field.of("match", match.label()));
  }

  @Override
  public void onExcess(String reason) {
    recordExcess(reason);
    onFailure(reason);
  }

  private void recordExcess(String reason) {
    relay.metrics().count("responses.distrusted", "too-large");
    relay
        .events()
        .record(
            RelayEvent.RESPONSE_TOO_LARGE,
            Field.of("request", owner.requestId()),
            Field.of("endpoint", endpoint.instanceId()),
            Field.of("reason", reason));
  }

  @Override
  public void onContent(ByteBuf bytes, int parts) {
    owner.guard().run("response-body", () -> contentReceived(bytes, parts));
  }

  private void contentReceived(ByteBuf bytes, int parts) {
    if (refusal.isPresent()) {
      bytes.release();
      return;
    }
    long now = System.nanoTime();
    endpoint.responseReceived(now);
    if (lastPartNanos == 0) {
      recordFirstPart(now);
    } else {
      recordInterval((now - lastPartNanos) / 1e6, now);
    }
    for (int i = 1; i < parts; i++) {
      // Parts that are read at once arrived together.
      recordInterval(0, now);
    }
    lastPartNanos = now;
    owner.onContent(bytes);
  }

  @Override
  public void onComplete() {
    owner.guard().run("response-end", this::responseCompleted);
  }

  private void responseCompleted() {
    long now = System.nanoTime();
    responseEnded = true;
    EndpointConnection done = connection.orElseThrow();
    // Deferred, so that bytes beyond the response are detected before the connection is reused.
    relay.loop().execute(() -> endpoint.connections().release(done, System.nanoTime()));
    if (refusal.isPresent()) {
      finish();
      owner.onFailure(this, new Failure(Outcome.NOT_RUN, refusal.get().verdict().name(), refusal));
      return;
    }
    endpoint.recordLatency((now - startNanos) / 1e6);
    if (ResponseEnd.needsCheck(framing, endpoint.mayEndAfterResponse())) {
      Duration delay = endpoint.endsAtDeadline() ? DEADLINE_CHECK_DELAY : Duration.ZERO;
      relay
          .loop()
          .schedule(
              owner.guard().guarded("endpoint-check", this::checkEndpoint),
              delay.toMillis(),
              TimeUnit.MILLISECONDS);
    } else {
      finish();
      owner.onComplete();
    }
  }

  @Override
  public void onFailure(String reason) {
    owner.guard().run("attempt-failure", () -> failed(reason));
  }

  private void failed(String reason) {
    if (finished) {
      return;
    }
    finish();
    endpoint.health().failed(System.nanoTime());
    Outcome outcome = refusal.isPresent() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    owner.onFailure(this, new Failure(outcome, reason, refusal));
  }

  private void recordFirstPart(long now) {
    if (endpoint.reading().pace().isKnown() && promptTokens.isPresent()) {
      double millis = (now - sentNanos) / 1e6;
      speed().firstOutput(promptTokens.getAsLong(), millis, expectedPace(now));
    }
  }

  private void recordInterval(double millis, long now) {
    endpoint.recordPartInterval(millis);
    if (endpoint.reading().pace().isKnown()) {
      speed().event(millis, expectedPace(now));
    }
  }

  private ReadingSpeed speed() {
    return relay.placement().speed(endpoint.pool());
  }

  private double expectedPace(long now) {
    return endpoint.reading().pace().expected(now);
  }

  private void checkEndpoint() {
    if (!finished) {
      EndpointProbe.check(
          relay.loop(),
          endpoint.address(),
          END_CHECK_TIMEOUT,
          owner.guard().receiver("endpoint-check", this::endpointChecked));
    }
  }

  private void endpointChecked(EndpointProbe.Result result) {
    if (finished) {
      return;
    }
    if (endpoint.endsAtDeadline()) {
      endWith(result.state().atDeadline());
    } else if (result.state() == ResponseEnd.Endpoint.REFUSES) {
      // By then the ends of the other connections, which came with this one, are handled.
      relay
          .loop()
          .schedule(
              owner.guard().guarded("endpoint-check", this::endpointRefused),
              REFUSAL_DELAY.toMillis(),
              TimeUnit.MILLISECONDS);
    } else {
      endWith(result.state());
    }
  }

  private void endpointRefused() {
    if (!finished) {
      int open = endpoint.connections().provenOpen(REFUSAL_DELAY, System.nanoTime());
      endWith(ResponseEnd.Endpoint.ofRefusal(open));
    }
  }

  private void endWith(ResponseEnd.Endpoint state) {
    endpointState = state;
    relay.metrics().count("response.end.checks", endpointState.label());
    finish();
    owner.onComplete();
  }

  private void connectionReady(EndpointConnection opened) {
    if (finished) {
      opened.close();
    } else if (relay.loopPauses().mayHoldUnread(System.nanoTime())) {
      // In a later turn, as the caller's connection may be in the middle of a read.
      relay
          .loop()
          .execute(owner.guard().guarded("caller-read", () -> sendUnlessCallerLeft(opened)));
    } else {
      send(opened);
    }
  }

  /** Sends the request unless the end of its caller's connection has arrived. */
  private void sendUnlessCallerLeft(EndpointConnection opened) {
    boolean callerPresent = !finished && owner.readCaller();
    if (finished || !callerPresent) {
      endpoint.connections().release(opened, System.nanoTime());
    } else if (opened.isOpen()) {
      send(opened);
    } else {
      connectionFailed(new ClosedChannelException());
    }
  }

  private void send(EndpointConnection opened) {
    Optional<FullHttpRequest> request = owner.buildRequest(endpoint, System.nanoTime());
    if (request.isEmpty()) {
      finishOnce();
      endpoint.connections().release(opened, System.nanoTime());
      return;
    }
    connection = Optional.of(opened);
    endpoint.connectionOpened();
    endUse = endpoint.sidecar().flatMap(link -> owner.adapter().map(link::beginUse));
    sent = true;
    sentNanos = System.nanoTime();
    opened.send(owner.requestId(), request.get(), this);
  }

  private void connectionFailed(Throwable cause) {
    if (finished) {
      return;
    }
    finish();
    endpoint.health().failed(System.nanoTime());
    owner.onFailure(
        this, new Failure(Outcome.NOT_RUN, "no connection: " + cause, Optional.empty()));
  }

  private void markResponseBegun() {
    if (!responseBegun) {
      responseBegun = true;
      endpoint.responseBegun();
    }
  }

  /** Ends the attempt, unless the end of its request has done so. */
  private void finishOnce() {
    if (!finished) {
      finish();
    }
  }

  private void finish() {
    finished = true;
    endUse.ifPresent(Runnable::run);
    endpoint.attemptEnded(responseBegun);
    relay.loop().execute(relay.waitQueue()::retryPlacement);
  }
}
