package org.comfreygap.relay.residency;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.comfreygap.relay.HttpPeerClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the engine's health check how long the engine stays cold, which its report does not tell.
 *
 * <p>It has a connection of its own, since a health check waits for a slot of the engine while
 * reports do not. Thread safety: used on the event loop only.
 */
final class ColdStatePoller {

  /** Time between checks of an engine that has started lately, when it is cold as a rule. */
  static final Duration PERIOD = Duration.ofMillis(500);

  /** Every so many of these times one is made of other engines; checks are charged. */
  static final int WARM_POLL_INTERVAL = 4;

  /** A health check of a full engine may take as long. */
  static final Duration TIMEOUT = Duration.ofMillis(2_000);

  private static final Logger LOG = LoggerFactory.getLogger(ColdStatePoller.class);

  private final EventLoop loop;
  private final EngineDialect dialect;
  private final HttpPeerClient client;
  private final Supplier<Optional<String>> healthPath;
  private final BooleanSupplier startedRecently;
  private final LongConsumer onCold;
  private int ticks;
  private boolean closed;

  ColdStatePoller(
      EventLoop loop,
      EngineDialect dialect,
      HttpPeerClient fetch,
      Supplier<Optional<String>> healthPath,
      BooleanSupplier startedLately,
      LongConsumer onCold) {
    this.loop = loop;
    this.dialect = dialect;
    this.client = fetch;
    this.healthPath = healthPath;
    this.startedRecently = startedLately;
    this.onCold = onCold;
  }

  void start() {
    loop.scheduleAtFixedRate(this::poll, 0, PERIOD.toMillis(), TimeUnit.MILLISECONDS);
  }

  void close() {
    closed = true;
    client.close();
  }

  private void poll() {
    Optional<String> path = healthPath.get();
    ticks++;
    boolean due = startedRecently.getAsBoolean() || ticks % WARM_POLL_INTERVAL == 0;
    if (closed || !due || client.busy() || path.isEmpty()) {
      return;
    }
    client.call(
        HttpMethod.GET,
        path.get(),
        Map.of(),
        "",
        reply -> onCold.accept(dialect.readColdMillis(reply)),
        this::failed);
  }

  private void failed(IOException cause) {
    // Reports tell whether the engine answers at all.
    LOG.debug("a health check got no answer", cause);
  }
}
