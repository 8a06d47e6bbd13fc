package org.comfreygap.relay.residency;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.relay.LoopTasks;
import org.comfreygap.runtime.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the engine's health check for the remaining cold time, which the engine's report lacks.
 *
 * <p>It has a connection of its own, since a health check waits for a slot of the engine while
 * reports do not. Thread safety: used on the event loop only.
 */
final class ColdStatePoller {

  /** Time between checks of an engine that has started recently, when it is usually cold. */
  static final Duration PERIOD = Duration.ofMillis(500);

  /** Periods between checks of other engines, as checks are charged. */
  static final int WARM_POLL_INTERVAL = 4;

  /** Periods between checks of an engine with a request limit, against which checks count. */
  static final int LIMITED_POLL_INTERVAL = 16;

  /** Timeout of a health check, which may take that long at a full engine. */
  static final Duration TIMEOUT = Duration.ofMillis(2_000);

  private static final Logger LOG = LoggerFactory.getLogger(ColdStatePoller.class);

  private final EventLoop loop;
  private final EventLog events;
  private final EngineDialect dialect;
  private final HttpPeerClient client;
  private final Supplier<Optional<String>> healthPath;
  private final BooleanSupplier startedRecently;
  private final BooleanSupplier limited;
  private final LongConsumer onCold;
  private int ticks;
  private boolean closed;

  ColdStatePoller(
      EventLoop loop,
      EventLog events,
      EngineDialect dialect,
      HttpPeerClient client,
      Supplier<Optional<String>> healthPath,
      BooleanSupplier startedRecently,
      BooleanSupplier limited,
      LongConsumer onCold) {
    this.loop = loop;
    this.events = events;
    this.dialect = dialect;
    this.client = client;
    this.healthPath = healthPath;
    this.startedRecently = startedRecently;
    this.limited = limited;
    this.onCold = onCold;
  }

  void start() {
    LoopTasks.repeat(loop, events, "health check", Duration.ZERO, PERIOD, this::poll);
  }

  void close() {
    closed = true;
    client.close();
  }

  private void poll() {
    Optional<String> path = healthPath.get();
    ticks++;
    boolean due =
        limited.getAsBoolean()
            ? ticks % LIMITED_POLL_INTERVAL == 0
            : startedRecently.getAsBoolean() || ticks % WARM_POLL_INTERVAL == 0;
    if (closed || !due || client.busy() || path.isEmpty()) {
      return;
    }
    client.call(
        HttpMethod.GET,
        path.get(),
        Map.of(),
        "",
        response -> onCold.accept(dialect.readColdMillis(response)),
        this::failed);
  }

  private void failed(IOException cause) {
    // Whether the engine responds at all is known from its reports.
    LOG.debug("a health check failed", cause);
  }
}
