package org.comfreygap.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.comfreygap.decisions.KnownBase;
import org.comfreygap.decisions.StreamOrigins;
import org.comfreygap.decisions.StreamOrigins.Origin;
import org.comfreygap.protocol.generated.StreamBatch;
import org.comfreygap.protocol.generated.StreamBatchReply;
import org.comfreygap.protocol.generated.StreamLookup;
import org.comfreygap.protocol.generated.StreamOrigin;
import org.comfreygap.protocol.generated.StreamRecord;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.settings.Documents.Route;

/**
 * Records at control at which software version streams begin, and asks where those began that
 * callers take up again. Streams at the base version of their path are not recorded.
 *
 * <p>Invariants: records and lookups reach control in the order of the calls; a base is relied on
 * while {@link KnownBase} allows, from the start of the call that learned it. Thread safety:
 * methods are called on the event loop, which also runs the callbacks; one thread sends.
 */
final class StreamRegister implements AutoCloseable {

  /** Time after which a record or lookup that control did not take has failed. */
  static final Duration PATIENCE = Duration.ofMillis(1_500);

  private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(300);
  private static final Duration RETRY_PAUSE = Duration.ofMillis(50);
  // Bounds the calls of a large fleet to 2,000 a second; the first event takes 100 ms and more.
  private static final Duration SPACING_PER_GATEWAY = Duration.ofNanos(500_000);
  private static final int MAX_BATCH = 1_000;
  private static final int MAX_ID_CHARACTERS = 128;

  private final EventLoop loop;
  private final ControlClient control;
  private final String gatewayId;
  private final IntSupplier gatewayCount;
  private final EventLog events;
  private final RelayMetrics metrics;
  private final Map<String, PathBase> bases = new HashMap<>();
  private final LinkedBlockingQueue<Item> queue = new LinkedBlockingQueue<>();
  private final List<Item> undelivered = new ArrayList<>();
  private final RepeatingTask sender;

  StreamRegister(
      EventLoop loop,
      ControlClient control,
      String gatewayId,
      IntSupplier gatewayCount,
      EventLog events,
      RelayMetrics metrics) {
    this.loop = loop;
    this.control = control;
    this.gatewayId = gatewayId;
    this.gatewayCount = gatewayCount;
    this.events = events;
    this.metrics = metrics;
    this.sender = RepeatingTask.continuous("stream-register", this::sendNext);
  }

  /**
   * Keys of a request's path, by which control knows streams.
   *
   * @param path the path itself
   * @param prefix the path prefix of its route
   */
  record Place(String path, String prefix) {

    static Place of(Route route, String path) {
      return new Place(
          StreamOrigins.key(route.host(), path),
          StreamOrigins.key(route.host(), route.pathPrefix()));
    }
  }

  /**
   * The base of a path prefix.
   *
   * @param others longer prefixes, whose paths have bases of their own
   */
  private record PathBase(KnownBase base, List<String> others) {

    boolean covers(String path, Origin begun, ClockReading now) {
      return base.covers(begun, now.nanos(), now.wallMillis())
          && others.stream().noneMatch(path::startsWith);
    }
  }

  /**
   * A record or lookup.
   *
   * @param origin the origin to record; empty for a lookup
   * @param listed origins of the endpoints listed for the route
   * @param decided called with false when control did not take it in time, and with what was found
   */
  private record Item(
      Optional<String> key,
      Place place,
      Optional<Origin> origin,
      List<Origin> listed,
      long sinceNanos,
      BiConsumer<Boolean, Optional<Origin>> decided) {}

  /** Returns true when streams that begin at {@code origin} need no record. */
  boolean isBase(Place place, Origin origin, ClockReading now) {
    PathBase known = bases.get(place.prefix());
    return known != null && known.covers(place.path(), origin, now);
  }

  /**
   * Records the origin of a stream.
   *
   * @param decided called with true once the record is durable, with false when it failed
   */
  void record(
      String requestId,
      Place place,
      Origin origin,
      List<Origin> listed,
      Consumer<Boolean> decided) {
    queue.add(
        new Item(
            Optional.of(key(requestId)),
            place,
            Optional.of(origin),
            listed,
            System.nanoTime(),
            (done, found) -> decided.accept(done)));
  }

  /**
   * Looks up the origin of a stream.
   *
   * @param requestId the request that brought its first event, where the caller names it
   * @param decided called with false when control did not reply, and with the origin if it is known
   */
  void resolve(
      Optional<String> requestId,
      Place place,
      List<Origin> listed,
      BiConsumer<Boolean, Optional<Origin>> decided) {
    queue.add(
        new Item(
            requestId.map(StreamRegister::key),
            place,
            Optional.empty(),
            listed,
            System.nanoTime(),
            decided));
  }

  @Override
  public void close() {
    sender.close();
  }

  private void sendNext() throws InterruptedException {
    List<Item> items = new ArrayList<>(undelivered);
    undelivered.clear();
    if (items.isEmpty()) {
      items.add(queue.take());
    }
    queue.drainTo(items, Math.max(0, MAX_BATCH - items.size()));
    ClockReading sent = ClockReading.now();
    try {
      StreamBatch batch = toBatch(items);
      StreamBatchReply reply =
          control.callLeader(CALL_TIMEOUT, ATTEMPT_TIMEOUT, client -> client.recordStreams(batch));
      LoopTasks.execute(loop, events, "streams-recorded", () -> applyReply(items, reply, sent));
    } catch (ControlUnavailableException e) {
      keepOrFail(items, e.getMessage());
      Thread.sleep(RETRY_PAUSE.toMillis());
    }
    Thread.sleep(SPACING_PER_GATEWAY.multipliedBy(gatewayCount.getAsInt()).toMillis());
  }

  private StreamBatch toBatch(List<Item> items) {
    StreamBatch batch =
        new StreamBatch(gatewayId, new ArrayList<>(), new ArrayList<>(), new HashMap<>());
    for (int i = 0; i < items.size(); i++) {
      Item item = items.get(i);
      String prefix = item.place.prefix();
      batch.putToListed(prefix, item.listed.stream().map(StreamRegister::toMessage).toList());
      if (item.origin.isPresent()) {
        batch.addToRecords(
            new StreamRecord(item.key.orElseThrow(), prefix, toMessage(item.origin.get())));
      } else {
        StreamLookup lookup = new StreamLookup(i, item.place.path());
        item.key.ifPresent(lookup::setRequestId);
        batch.addToLookups(lookup);
      }
    }
    return batch;
  }

  private void applyReply(List<Item> items, StreamBatchReply reply, ClockReading sent) {
    items.stream()
        .map(item -> item.place.prefix())
        .distinct()
        .forEach(prefix -> learnBase(prefix, reply.getBases(), sent));
    for (int i = 0; i < items.size(); i++) {
      Item item = items.get(i);
      Optional<Origin> found =
          Optional.ofNullable(reply.getFound().get(i)).map(StreamRegister::toOrigin);
      metrics.count("stream.origins", item.origin.isPresent() ? "recorded" : lookupLabel(found));
      LoopTasks.run(events, "stream-origin", () -> item.decided.accept(true, found));
    }
  }

  private void learnBase(String prefix, Map<String, StreamOrigin> found, ClockReading sent) {
    StreamOrigin base = found.get(prefix);
    if (base == null) {
      bases.remove(prefix);
      return;
    }
    List<String> others =
        found.keySet().stream()
            .filter(other -> other.startsWith(prefix) && !other.equals(prefix))
            .toList();
    KnownBase known = new KnownBase(toOrigin(base), sent.nanos(), sent.wallMillis());
    bases.put(prefix, new PathBase(known, others));
  }

  private void keepOrFail(List<Item> items, String cause) {
    long now = System.nanoTime();
    List<Item> failed = new ArrayList<>();
    for (Item item : items) {
      boolean late = now - item.sinceNanos >= PATIENCE.toNanos();
      (late ? failed : undelivered).add(item);
    }
    if (failed.isEmpty()) {
      return;
    }
    events.record(
        RelayEvent.STREAMS_NOT_RECORDED,
        Field.of("count", failed.size()),
        Field.of("cause", cause));
    LoopTasks.execute(loop, events, "streams-not-recorded", () -> fail(failed));
  }

  /** Tells the requests that control did not reply; an error of one keeps none from it. */
  private void fail(List<Item> items) {
    for (Item item : items) {
      metrics.count("stream.origins", "no-reply");
      LoopTasks.run(events, "stream-origin", () -> item.decided.accept(false, Optional.empty()));
    }
  }

  private static String lookupLabel(Optional<Origin> found) {
    return found.isPresent() ? "found" : "unknown";
  }

  /** Returns the id of a request, or its hash where it is long. */
  private static String key(String requestId) {
    if (requestId.length() <= MAX_ID_CHARACTERS) {
      return requestId;
    }
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return ByteBufUtil.hexDump(digest.digest(requestId.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime lacks SHA-256", e);
    }
  }

  private static StreamOrigin toMessage(Origin origin) {
    return new StreamOrigin(origin.pool(), origin.version());
  }

  private static Origin toOrigin(StreamOrigin message) {
    return new Origin(message.getPool(), message.getVersion());
  }
}
