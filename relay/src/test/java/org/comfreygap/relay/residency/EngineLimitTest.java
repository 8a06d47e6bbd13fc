package org.comfreygap.relay.residency;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.comfreygap.decisions.StatedLimit;
import org.comfreygap.protocol.generated.LimitStatement;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.Timeline;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request limit that an engine states only to its sidecar and that gateways never
 * hear of, and against one that a report without a limit ends.
 */
class EngineLimitTest {

  private static final String LIMIT = "Limit";

  private final List<String> changes = new ArrayList<>();

  @Test
  void passesOnWhatAnyResponseStatesUntilTheEngineRestarts() throws Exception {
    try (EventLog events =
        new EventLog("sidecar-1", new HybridClock(System::currentTimeMillis), new Timeline(10))) {
      EngineLimit limit = new EngineLimit(new LimitDialect(), events);
      limit.onChange(() -> changes.add("changed"));

      limit.read(response(Optional.empty()), System.nanoTime());
      assertThat(limit.message(System.nanoTime())).isEmpty();
      limit.read(response(Optional.of("1.5")), System.nanoTime());
      limit.read(response(Optional.of("nan")), System.nanoTime());
      limit.read(response(Optional.empty()), System.nanoTime());

      assertThat(limit.message(System.nanoTime())).map(LimitStatement::getPerSecond).hasValue(1.5);
      assertThat(changes).hasSize(1);
      limit.restarted();
      assertThat(limit.isLimited()).isFalse();
    }
  }

  private static HttpPeerClient.Response response(Optional<String> limit) {
    HttpHeaders headers = new DefaultHttpHeaders();
    limit.ifPresent(text -> headers.set(LIMIT, text));
    return new HttpPeerClient.Response(200, headers, new byte[0]);
  }

  /** A dialect of which only the limit is read. */
  static final class LimitDialect implements EngineDialect {

    @Override
    public String reportPath() {
      return "/";
    }

    @Override
    public EngineReport readReport(HttpPeerClient.Response response) {
      throw new IllegalStateException("given a report, expected none");
    }

    @Override
    public Optional<String> readInstance(HttpPeerClient.Response response) {
      return Optional.empty();
    }

    @Override
    public long readColdMillis(HttpPeerClient.Response response) {
      return 0;
    }

    @Override
    public StatedLimit readLimit(HttpPeerClient.Response response) {
      return StatedLimit.parse(response.headers().getAll(LIMIT));
    }

    @Override
    public Call writeCommand(EngineCommand command) {
      throw new IllegalStateException("given a command, expected none");
    }

    @Override
    public CommandResult readResult(EngineCommand command, HttpPeerClient.Response response) {
      return CommandResult.REFUSED;
    }
  }
}
