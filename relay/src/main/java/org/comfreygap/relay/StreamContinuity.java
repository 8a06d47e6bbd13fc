package org.comfreygap.relay;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.Documents.RouteTarget;
import org.comfreygap.settings.RequestKind;

/**
 * Keeps a stream that may be resumed at the software version that began it, within one response and
 * over the take-ups of its caller.
 *
 * <p>Invariants: no byte of a stream leaves before the origin of its attempt is on record, or is
 * the base of its path; a stream whose origin is not known goes on nowhere. Thread safety: used on
 * the event loop only.
 */
final class StreamContinuity {

  /** Reason of an attempt whose response must not leave. */
  static final String NOT_RECORDED = "the software version of the stream could not be recorded";

  /** Bytes held back beyond which the response is not read on. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private final RelayContext relay;
  private final CallerRequest request;
  private final String path;
  private final HeldBuffer held;
  private Optional<Origin> required = Optional.empty();
  private Optional<Origin> attempted = Optional.empty();
  private Optional<Refusal> refusal = Optional.empty();
  private boolean resolving;
  private boolean everRecorded;
  private int attempts;
  private Recording recording = Recording.DONE;

  /**
   * Creates the continuity of a request.
   *
   * @param path path of the request without its query
   */
  StreamContinuity(RelayContext relay, CallerRequest request, String path) {
    this.relay = relay;
    this.request = request;
    this.path = path;
    this.held = new HeldBuffer(MAX_HELD_BYTES, relay.heldBytes());
  }

  /** Whether the origin of the current attempt is on record. */
  private enum Recording {
    DONE,
    PENDING,
    FAILED
  }

  /** Looks up where a stream began that the caller takes up; {@code decided} is run later. */
  void begin(Route route, Runnable decided) {
    if (request.takeUp().isEmpty() || !applies(route)) {
      return;
    }
    resolving = true;
    relay
        .streams()
        .resolve(
            request.takeUp().get().begunBy(),
            StreamRegister.Place.of(route, path),
            listed(route),
            (done, origin) -> {
              resolving = false;
              required = origin;
              if (origin.isEmpty()) {
                refusal = Optional.of(done ? Refusal.ORIGIN_UNKNOWN : Refusal.UNCONFIRMED);
              }
              decided.run();
            });
  }

  /** Returns true while it is not known where the stream began. */
  boolean isResolving() {
    return resolving;
  }

  /** Returns the decision for the pool in which the stream has to go on, if the route has it. */
  RouteDecision pinned(RouteDecision decision) {
    return required.flatMap(origin -> decision.withPool(origin.pool())).orElse(decision);
  }

  /** Returns why the stream cannot go on anywhere. */
  Optional<Refusal> refusal(RouteDecision decision) {
    if (refusal.isPresent() || required.isEmpty()) {
      return refusal;
    }
    boolean moved = !decision.pool().equals(required.get().pool());
    return moved || hasNoEndpoint() ? Optional.of(Refusal.VERSION_GONE) : Optional.empty();
  }

  /** Returns where the stream has to go on; empty while it may begin anywhere. */
  Optional<Origin> required() {
    return required;
  }

  /** Records where an attempt is about to be made; {@code recorded} is run when that is decided. */
  void attempting(Endpoint endpoint, Route route, Runnable recorded) {
    if (!applies(route)) {
      return;
    }
    attempts++;
    Origin origin = endpoint.origin();
    attempted = Optional.of(origin);
    recording = Recording.DONE;
    StreamRegister.Place place = StreamRegister.Place.of(route, path);
    if (everRecorded || !relay.streams().isBase(place, origin, ClockReading.now())) {
      // An earlier record of this request would outlive an attempt that needs none.
      everRecorded = true;
      recording = Recording.PENDING;
      int attempt = attempts;
      relay
          .streams()
          .record(
              request.id(),
              place,
              origin,
              listed(route),
              done -> {
                if (attempt == attempts) {
                  recording = done ? Recording.DONE : Recording.FAILED;
                  recorded.run();
                }
              });
    }
  }

  /** Returns true while parts of the response must not leave yet. */
  boolean holds() {
    return recording == Recording.PENDING;
  }

  /** Returns true when the response must not leave at all. */
  boolean failed() {
    return recording == Recording.FAILED;
  }

  /**
   * Keeps a part of the response until {@link #holds} is false, and returns whether more may be
   * read.
   */
  boolean hold(ByteBuf part) {
    held.append(part);
    return held.excess().isEmpty();
  }

  /** Removes and returns the kept parts; empty when there are none. */
  Optional<ByteBuf> takeHeld() {
    return held.size() > 0 ? Optional.of(held.takeAll()) : Optional.empty();
  }

  /** Drops the kept parts of an attempt that ended. */
  void discardHeld() {
    held.takeAll().release();
    attempts++;
    recording = Recording.DONE;
  }

  /** Records that the first event leaves: from here on the stream is bound to its origin. */
  void eventForwarded() {
    if (required.isEmpty()) {
      required = attempted;
    }
  }

  private boolean hasNoEndpoint() {
    return relay.directory().pool(required.get().pool()).stream()
        .noneMatch(endpoint -> endpoint.isAt(required.get()));
  }

  private static boolean applies(Route route) {
    return route.kind() == RequestKind.STREAM && route.resumable();
  }

  private List<Origin> listed(Route route) {
    Set<Origin> origins = new LinkedHashSet<>();
    for (RouteTarget target : route.targets()) {
      relay.directory().pool(target.pool()).forEach(endpoint -> origins.add(endpoint.origin()));
    }
    return new ArrayList<>(origins);
  }
}
