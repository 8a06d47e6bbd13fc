package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.comfreygap.decisions.ZoneReader;
import org.comfreygap.runtime.ClockReading;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Polls the list of endpoints, page by page: from the gateway that reads it for the zone, or from
 * the platform when there is none or it does not respond.
 *
 * <p>Invariants: a list is delivered only when all its pages were read and it is newer than the one
 * before; a list that cannot be read changes nothing; no error ends the polling. Thread safety:
 * used on the event loop only.
 */
final class ListingPoller {

  /** Pause after a failure or a response over the rate limit that all callers share. */
  static final Duration RETRY_PAUSE = Duration.ofMillis(300);

  /** Time for which a gateway that did not serve the list is skipped; a restart takes less. */
  static final Duration GATEWAY_PAUSE = Duration.ofSeconds(3);

  /**
   * Factor on the period while the zone's reader is skipped: all gateways of the zone call the
   * platform then, within the rate that it allows for all instances.
   */
  static final double PERIOD_FACTOR_WITHOUT_READER = 1.5;

  /** More pages than any deployment has; stops at a list whose page tokens form a cycle. */
  private static final int MAX_PAGES = 100;

  private static final int OK = 200;
  private static final double JITTER = 0.2;

  private final EventLoop loop;
  private final ListingFormat format;
  private final ListingSource platform;
  private final Supplier<Optional<ZoneReader.Candidate>> zoneReader;
  private final Duration period;
  private final RandomGenerator random;
  private final EventLog events;
  private final Receiver receiver;
  private final SharedListing sharedListing = new SharedListing();
  private Optional<ListingSource> gateway = Optional.empty();
  private long gatewaySkippedUntilNanos;
  private ListingSource source;
  private ClockReading requestedAt;
  private long ageMillis;
  private List<byte[]> pages = new ArrayList<>();
  private List<ListedEndpoint> endpoints = new ArrayList<>();
  private int unreadable;
  private int unreadableBefore;
  private boolean receivedOnce;
  private long latestAsOfNanos;
  private boolean closed;

  /**
   * Creates a poller.
   *
   * @param zoneReader supplies the gateway that reads the list for the zone; empty when this
   *     gateway reads it
   */
  ListingPoller(
      EventLoop loop,
      InetSocketAddress address,
      ListingFormat format,
      Supplier<Optional<ZoneReader.Candidate>> zoneReader,
      Duration period,
      RandomGenerator random,
      EventLog events,
      Receiver receiver) {
    this.loop = loop;
    this.format = format;
    this.platform = ListingSource.platform(loop, address, format);
    this.zoneReader = zoneReader;
    this.period = period;
    this.random = random;
    this.events = events;
    this.receiver = receiver;
    this.source = platform;
    this.gatewaySkippedUntilNanos = System.nanoTime();
  }

  /** Receives complete lists. */
  @FunctionalInterface
  interface Receiver {

    /**
     * Called with a complete list.
     *
     * @param asOfNanos monotonic time at which it was requested from the platform
     */
    void onListing(List<ListedEndpoint> endpoints, long asOfNanos);
  }

  void start() {
    startPoll();
  }

  void close() {
    closed = true;
    platform.client().close();
    gateway.ifPresent(one -> one.client().close());
  }

  /** Returns the number of entries of the last complete list that could not be read. */
  int skippedEntries() {
    return unreadableBefore;
  }

  /** Returns the response to another gateway's request for a page. */
  PlainHttpServer.Page page(String path) {
    return sharedListing.page(path, ClockReading.now());
  }

  private void startPoll() {
    if (closed) {
      return;
    }
    requestedAt = ClockReading.now();
    if (!LoopTasks.run(events, "listing source", this::switchSource)) {
      gatewaySkippedUntilNanos = System.nanoTime() + GATEWAY_PAUSE.toNanos();
      switchTo(platform);
    }
    pages = new ArrayList<>();
    endpoints = new ArrayList<>();
    unreadable = 0;
    ageMillis = 0;
    requestPage(source.firstPath());
  }

  private void switchSource() {
    switchTo(chooseSource(requestedAt.nanos()));
  }

  private ListingSource chooseSource(long nowNanos) {
    Optional<ZoneReader.Candidate> chosen =
        nowNanos - gatewaySkippedUntilNanos < 0 ? Optional.empty() : zoneReader.get();
    if (chosen.isEmpty()) {
      return platform;
    }
    ZoneReader.Candidate candidate = chosen.get();
    if (gateway.isEmpty() || !gateway.get().name().equals(candidate.processId())) {
      gateway.ifPresent(former -> former.client().close());
      gateway =
          Optional.of(ListingSource.gateway(loop, candidate.processId(), candidate.address()));
    }
    return gateway.get();
  }

  private void switchTo(ListingSource next) {
    if (next != source) {
      source = next;
      events.record(RelayEvent.LISTING_SOURCE_CHANGED, Field.of("source", next.name()));
    }
  }

  private void requestPage(String path) {
    source.client().call(HttpMethod.GET, path, Map.of(), "", this::pageReceived, this::pageFailed);
  }

  private void pageReceived(HttpPeerClient.Response response) {
    Optional<String> next;
    try {
      next = parsePage(response);
    } catch (IOException e) {
      pageFailed(e);
      return;
    } catch (RuntimeException e) {
      pageFailed(new IOException("the page could not be read: " + e, e));
      return;
    }
    if (next.isPresent() && pages.size() < MAX_PAGES) {
      requestPage(next.get());
    } else {
      complete();
    }
  }

  /** Parses a page and returns the path of the next one. */
  private Optional<String> parsePage(HttpPeerClient.Response response) throws IOException {
    if (response.status() != OK) {
      throw new IOException("given status " + response.status() + " for the list, expected " + OK);
    }
    ListingFormat.Page page = format.read(response.body());
    ageMillis = Math.max(ageMillis, source.ageMillis(response));
    pages.add(response.body());
    endpoints.addAll(page.endpoints());
    unreadable += page.unreadableEntries();
    return source.nextPath(response, page, pages.size());
  }

  private void complete() {
    if (unreadable != unreadableBefore) {
      unreadableBefore = unreadable;
      events.record(RelayEvent.LISTING_UNREADABLE, Field.of("entries", unreadable));
    }
    boolean fromPlatform = source == platform;
    if (fromPlatform) {
      sharedListing.replace(pages, requestedAt);
    }
    long asOf = requestedAt.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
    if (!receivedOnce || asOf - latestAsOfNanos > 0) {
      receivedOnce = true;
      latestAsOfNanos = asOf;
      LoopTasks.run(events, "listing", () -> receiver.onListing(endpoints, asOf));
    }
    boolean readerSkipped = fromPlatform && requestedAt.nanos() - gatewaySkippedUntilNanos < 0;
    scheduleNext(period, readerSkipped ? PERIOD_FACTOR_WITHOUT_READER : 1);
  }

  private void pageFailed(IOException cause) {
    events.record(
        RelayEvent.LISTING_FAILED,
        Field.of("source", source.name()),
        Field.of("cause", cause.getMessage()));
    if (source == platform) {
      scheduleNext(RETRY_PAUSE, 1);
    } else {
      gatewaySkippedUntilNanos = System.nanoTime() + GATEWAY_PAUSE.toNanos();
      startPoll();
    }
  }

  private void scheduleNext(Duration pause, double factor) {
    // Spreads the calls of gateways that started together.
    double spread = 1 + JITTER * (random.nextDouble() - 0.5);
    Duration delay = Duration.ofMillis((long) (pause.toMillis() * factor * spread));
    LoopTasks.schedule(loop, events, "list", delay, this::startPoll);
  }
}
