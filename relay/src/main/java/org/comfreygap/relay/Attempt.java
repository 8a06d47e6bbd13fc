package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.comfreygap.decisions.AdapterSlots;
import org.comfreygap.decisions.Outcome;

/**
 * One try to get a request answered by one endpoint.
 *
 * <p>Invariants: the request is written at most once; the owner learns of exactly one end, unless
 * the try was cancelled; the endpoint's counts are balanced. Thread safety: used on the event loop
 * only.
 */
final class Attempt implements EndpointConnection.Listener {

  private final Relay relay;
  private final Endpoint endpoint;
  private final Owner owner;
  private final long startNanos;
  private Optional<EndpointConnection> connection = Optional.empty();
  private Optional<AnswerHead> refusal = Optional.empty();
  private Optional<Runnable> use = Optional.empty();
  private long partNanos;
  private boolean sent;
  private boolean begun;
  private boolean over;

  Attempt(Relay relay, Endpoint endpoint, Owner owner, long startNanos) {
    this.relay = relay;
    this.endpoint = endpoint;
    this.owner = owner;
    this.startNanos = startNanos;
  }

  /** What the exchange learns. */
  interface Owner {

    /** Returns the request to send, or empty when it is not to be sent any more. */
    Optional<FullHttpRequest> request(Endpoint endpoint, long nowNanos);

    /** Returns the adapter that the request needs. */
    Optional<AdapterSlots.Name> adapter();

    /** Returns the id under which the answer comes. */
    String requestId();

    /** The endpoint's answer begins; it is one of a run. */
    void head(HttpResponse response, AnswerHead stated);

    /** A part of the body of that answer; the owner releases it. */
    void content(ByteBuf bytes);

    /** The answer is complete. */
    void complete();

    /** The try ended without a complete answer of a run. */
    void failed(Attempt attempt, Failure failure);
  }

  /**
   * Why a try ended.
   *
   * @param outcome what is known about the run
   * @param refusal the endpoint's refusal, where it gave one
   */
  record Failure(Outcome outcome, String reason, Optional<AnswerHead> refusal) {}

  Endpoint endpoint() {
    return endpoint;
  }

  boolean sent() {
    return sent;
  }

  /** Returns true until the try has ended or was cancelled. */
  boolean inProgress() {
    return !over;
  }

  /** Opens or takes a connection and sends the request. */
  void start() {
    endpoint.sent();
    endpoint.health().dispatched(startNanos);
    endpoint.connections().acquire(startNanos, this::connected, this::unreachable);
  }

  /** Drops the try; its owner learns nothing more. */
  void cancel() {
    if (!over) {
      end();
      connection.ifPresent(EndpointConnection::cancel);
    }
  }

  /** Stops or resumes reading the answer. */
  void reading(boolean enabled) {
    connection.ifPresent(open -> open.reading(enabled));
  }

  @Override
  public void head(HttpResponse response, AnswerHead stated) {
    long now = System.nanoTime();
    stated.load().ifPresent(load -> endpoint.stated(load, now));
    endpoint.health().succeeded();
    endpoint.heard(now);
    if (stated.verdict() != AnswerHead.Verdict.RAN) {
      refusal = Optional.of(stated);
      return;
    }
    begun();
    owner.head(response, stated);
  }

  @Override
  public void content(ByteBuf bytes) {
    if (refusal.isPresent()) {
      bytes.release();
      return;
    }
    long now = System.nanoTime();
    endpoint.heard(now);
    if (partNanos != 0) {
      endpoint.paced((now - partNanos) / 1e6);
    }
    partNanos = now;
    owner.content(bytes);
  }

  @Override
  public void complete() {
    long now = System.nanoTime();
    EndpointConnection done = connection.orElseThrow();
    // What the endpoint sent beyond the answer is noticed before the connection is used again.
    relay.loop().execute(() -> endpoint.connections().release(done, System.nanoTime()));
    end();
    if (refusal.isPresent()) {
      owner.failed(this, new Failure(Outcome.NOT_RUN, refusal.get().verdict().name(), refusal));
      return;
    }
    endpoint.answeredIn((now - startNanos) / 1e6);
    owner.complete();
  }

  @Override
  public void broken(String reason) {
    if (over) {
      return;
    }
    end();
    endpoint.health().failed(System.nanoTime());
    Outcome outcome = refusal.isPresent() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    owner.failed(this, new Failure(outcome, reason, refusal));
  }

  private void connected(EndpointConnection opened) {
    if (over) {
      opened.close();
      return;
    }
    Optional<FullHttpRequest> request = owner.request(endpoint, System.nanoTime());
    if (request.isEmpty()) {
      end();
      endpoint.connections().release(opened, System.nanoTime());
      return;
    }
    connection = Optional.of(opened);
    endpoint.connected();
    use = endpoint.link().flatMap(link -> owner.adapter().map(link::using));
    sent = true;
    opened.send(owner.requestId(), request.get(), this);
  }

  private void unreachable(Throwable cause) {
    if (over) {
      return;
    }
    end();
    endpoint.health().failed(System.nanoTime());
    owner.failed(this, new Failure(Outcome.NOT_RUN, "no connection: " + cause, Optional.empty()));
  }

  private void begun() {
    if (!begun) {
      begun = true;
      endpoint.begun();
    }
  }

  private void end() {
    over = true;
    use.ifPresent(Runnable::run);
    endpoint.ended(begun);
    relay.loop().execute(relay.waiting()::offer);
  }
}
