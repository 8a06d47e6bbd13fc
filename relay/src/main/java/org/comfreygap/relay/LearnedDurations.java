package org.comfreygap.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.comfreygap.decisions.StreamDurations;
import org.comfreygap.settings.Documents.Route;
import org.comfreygap.settings.RequestKind;

/**
 * How long the requests of each route last, as this gateway has seen it, with a gauge for each
 * route whose streams it has served.
 *
 * <p>Thread safety: used on the event loop only; the gauges are read from anywhere.
 */
final class LearnedDurations {

  private final RelayMetrics metrics;
  private final StreamDurations streams = new StreamDurations(RequestTimeouts.ASSUMED_STREAM);
  private final Map<String, AtomicLong> shownMillis = new HashMap<>();

  LearnedDurations(RelayMetrics metrics) {
    this.metrics = metrics;
  }

  /** Records a request that was served whole; only streams count, and none that was taken up. */
  void served(
      Route route, CallerRequest request, HttpResponse response, long arrivedNanos, long nowNanos) {
    boolean success = response.status().codeClass() == HttpStatusClass.SUCCESS;
    // Of a stream that is taken up only the rest is sent.
    if (!success || route.kind() != RequestKind.STREAM || request.takeUp().isPresent()) {
      return;
    }
    streams.served(route.name(), nowNanos - arrivedNanos, nowNanos);
    long millis = TimeUnit.NANOSECONDS.toMillis(streams.expectedNanos(route.name(), nowNanos));
    AtomicLong shown = shownMillis.get(route.name());
    if (shown != null) {
      shown.set(millis);
    } else if (shownMillis.size() < StreamDurations.MAX_ROUTES) {
      AtomicLong added = new AtomicLong(millis);
      shownMillis.put(route.name(), added);
      metrics.gauge("stream.expected.millis", route.name(), added::get);
    }
  }

  /**
   * Returns the time within which a request ends.
   *
   * @param patienceMillis time that its caller waits, where stated
   */
  Duration maxDuration(Route route, OptionalLong patienceMillis, long nowNanos) {
    Duration expected = Duration.ofNanos(streams.expectedNanos(route.name(), nowNanos));
    return RequestTimeouts.maxDuration(route, patienceMillis, expected);
  }
}
