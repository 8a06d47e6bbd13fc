package org.comfreygap.relay.residency;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.comfreygap.relay.HttpFetch;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Reads an engine's reports again and again and tells what changed.
 *
 * <p>Invariant: every report that is passed on names the start of the engine it is of. Thread
 * safety: used on the event loop only.
 */
final class EngineWatch {

  /** Time between reports while nothing is loaded: gateways learn of load within about this. */
  static final Duration CALM_PERIOD = Duration.ofMillis(100);

  /** Time between reports while adapters are on their way, against loads of about 250 ms. */
  static final Duration BUSY_PERIOD = Duration.ofMillis(35);

  /** An engine on the same machine that does not answer for this long is stopped or stuck. */
  static final Duration TIMEOUT = Duration.ofMillis(500);

  private final EventLoop loop;
  private final EngineDialect dialect;
  private final HttpFetch fetch;
  private final EventLog events;
  private final BooleanSupplier busy;
  private final Supplier<Optional<String>> healthPath;
  private final Consumer<EngineReport> onReport;
  private final Runnable onSilence;
  private Optional<String> instanceId = Optional.empty();
  private long bornMillis = -1;
  private boolean answering;
  private boolean closed;

  EngineWatch(
      EventLoop loop,
      EngineDialect dialect,
      HttpFetch fetch,
      EventLog events,
      BooleanSupplier busy,
      Supplier<Optional<String>> healthPath,
      Consumer<EngineReport> onReport,
      Runnable onSilence) {
    this.loop = loop;
    this.dialect = dialect;
    this.fetch = fetch;
    this.events = events;
    this.busy = busy;
    this.healthPath = healthPath;
    this.onReport = onReport;
    this.onSilence = onSilence;
  }

  void start() {
    poll();
  }

  void close() {
    closed = true;
    fetch.close();
  }

  private void poll() {
    if (!closed) {
      fetch.call(HttpMethod.GET, dialect.reportPath(), Map.of(), "", this::reported, this::silent);
    }
  }

  private void reported(HttpFetch.Reply reply) {
    EngineReport report;
    try {
      report = dialect.readReport(reply);
    } catch (IOException e) {
      silent(e);
      return;
    }
    if (!answering) {
      answering = true;
      events.record(ResidencyEvent.ENGINE_BACK, Field.of("born", report.bornMillis()));
    }
    if (report.bornMillis() != bornMillis) {
      bornMillis = report.bornMillis();
      instanceId = Optional.empty();
    }
    instanceId = report.instanceId().or(() -> instanceId);
    if (instanceId.isEmpty()) {
      askInstance(report);
      return;
    }
    pass(report);
    again();
  }

  /** The report does not name the start; a health check does. */
  private void askInstance(EngineReport report) {
    Optional<String> path = healthPath.get();
    if (path.isEmpty()) {
      again();
      return;
    }
    fetch.call(
        HttpMethod.GET,
        path.get(),
        Map.of(),
        "",
        reply -> {
          instanceId = dialect.readInstance(reply);
          instanceId.ifPresent(found -> pass(report));
          again();
        },
        this::silent);
  }

  private void pass(EngineReport report) {
    onReport.accept(
        new EngineReport(
            instanceId,
            report.bornMillis(),
            report.sequence(),
            report.ordering(),
            report.running(),
            report.waiting(),
            report.kvTokensUsed(),
            report.kvTokensTotal(),
            report.coldMillis(),
            report.leaving(),
            report.models(),
            report.resident(),
            report.coming()));
  }

  private void silent(IOException cause) {
    if (answering) {
      answering = false;
      events.record(ResidencyEvent.ENGINE_SILENT, Field.of("cause", cause.getMessage()));
      onSilence.run();
    }
    again();
  }

  private void again() {
    Duration pause = busy.getAsBoolean() ? BUSY_PERIOD : CALM_PERIOD;
    loop.schedule(this::poll, pause.toMillis(), TimeUnit.MILLISECONDS);
  }
}
