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
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.relay.LoopTasks;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;

/**
 * Polls an engine's reports and notifies of them and of failures.
 *
 * <p>Invariant: every report that is delivered states the id of the engine's start. Thread safety:
 * used on the event loop only.
 */
final class EngineReportPoller {

  /**
   * Time between reports while nothing is being loaded; load is known to gateways that much later.
   */
  static final Duration IDLE_PERIOD = Duration.ofMillis(100);

  /** Time between reports while adapters are being loaded, which takes about 250 ms. */
  static final Duration BUSY_PERIOD = Duration.ofMillis(35);

  /** An engine on the same machine that does not respond for this long is stopped or stuck. */
  static final Duration TIMEOUT = Duration.ofMillis(500);

  private final EventLoop loop;
  private final EngineDialect dialect;
  private final HttpPeerClient client;
  private final EventLog events;
  private final BooleanSupplier busy;
  private final Supplier<Optional<String>> healthPath;
  private final Consumer<EngineReport> onReport;
  private final Runnable onUnreachable;
  private Optional<String> instanceId = Optional.empty();
  private long bornMillis = -1;
  private boolean answering;
  private boolean closed;

  EngineReportPoller(
      EventLoop loop,
      EngineDialect dialect,
      HttpPeerClient client,
      EventLog events,
      BooleanSupplier busy,
      Supplier<Optional<String>> healthPath,
      Consumer<EngineReport> onReport,
      Runnable onUnreachable) {
    this.loop = loop;
    this.dialect = dialect;
    this.client = client;
    this.events = events;
    this.busy = busy;
    this.healthPath = healthPath;
    this.onReport = onReport;
    this.onUnreachable = onUnreachable;
  }

  void start() {
    poll();
  }

  void close() {
    closed = true;
    client.close();
  }

  private void poll() {
    if (!closed) {
      client.call(
          HttpMethod.GET,
          dialect.reportPath(),
          Map.of(),
          "",
          this::reportReceived,
          this::reportFailed);
    }
  }

  private void reportReceived(HttpPeerClient.Response response) {
    EngineReport report;
    try {
      report = dialect.readReport(response);
    } catch (IOException e) {
      reportFailed(e);
      return;
    } catch (RuntimeException e) {
      reportFailed(new IOException("the report could not be read: " + e, e));
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
      requestInstanceId(report);
      return;
    }
    LoopTasks.run(events, "report", () -> deliver(report));
    scheduleNext();
  }

  /** Requests the id of the start from a health check, as the report lacks it. */
  private void requestInstanceId(EngineReport report) {
    Optional<String> path = healthPath.get();
    if (path.isEmpty()) {
      scheduleNext();
      return;
    }
    client.call(
        HttpMethod.GET,
        path.get(),
        Map.of(),
        "",
        response -> {
          instanceId = dialect.readInstance(response);
          LoopTasks.run(events, "report", () -> instanceId.ifPresent(found -> deliver(report)));
          scheduleNext();
        },
        this::reportFailed);
  }

  private void deliver(EngineReport report) {
    onReport.accept(
        new EngineReport(
            instanceId,
            report.bornMillis(),
            report.sequence(),
            report.executing(),
            report.running(),
            report.waiting(),
            report.kvTokensUsed(),
            report.kvTokensTotal(),
            report.coldMillis(),
            report.leaving(),
            report.models(),
            report.resident(),
            report.loading()));
  }

  private void reportFailed(IOException cause) {
    if (answering) {
      answering = false;
      events.record(ResidencyEvent.ENGINE_SILENT, Field.of("cause", cause.getMessage()));
      onUnreachable.run();
    }
    scheduleNext();
  }

  private void scheduleNext() {
    Duration pause = busy.getAsBoolean() ? BUSY_PERIOD : IDLE_PERIOD;
    loop.schedule(this::poll, pause.toMillis(), TimeUnit.MILLISECONDS);
  }
}
