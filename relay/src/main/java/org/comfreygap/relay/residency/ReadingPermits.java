package org.comfreygap.relay.residency;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.comfreygap.decisions.EndpointPace;
import org.comfreygap.decisions.ReadingGate;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.protocol.generated.ReadingPermitReply;
import org.comfreygap.protocol.generated.ReadingPermitRequest;
import org.comfreygap.protocol.generated.ResidencyMessage;
import org.comfreygap.relay.HttpPeerClient;
import org.comfreygap.relay.PeerMessages;

/**
 * The pace of the engine, and the leave to send prompts to it that gateways ask for.
 *
 * <p>Invariant: every request gets one reply. Thread safety: used on the event loop only.
 */
final class ReadingPermits {

  /** Time over which the status states what was granted: the usual limit on pauses. */
  private static final Duration SPAN = Duration.ofMillis(300);

  private final EngineDialect dialect;
  private final EndpointPace pace = new EndpointPace();
  private final ReadingGate gate = new ReadingGate();
  private long granted;
  private long delayed;
  private long refused;
  private long forced;

  ReadingPermits(EngineDialect dialect) {
    this.dialect = dialect;
  }

  /** Reads the pace from all responses to a client's calls. */
  void observe(HttpPeerClient client) {
    client.onResponse(this::read);
  }

  /** Records the pace that a response states. */
  void read(HttpPeerClient.Response response, long sentNanos) {
    dialect.readPace(response).ifPresent(percent -> pace.stated(percent, System.nanoTime()));
  }

  /** Records the pace that a gateway has read just now. */
  void observed(int percent, long nowNanos) {
    pace.stated(percent, nowNanos);
  }

  /** Forgets what was granted: the engine has started again. */
  void restarted() {
    gate.restarted();
  }

  /** Returns the last stated pace in percent; 0 when none was stated. */
  int pacePercent() {
    return pace.lastPercent();
  }

  /**
   * Replies to a request of a gateway.
   *
   * @param running requests that run at the engine
   */
  void requested(Channel gateway, ReadingPermitRequest message, int running, long nowNanos) {
    ReadingGate.Prompt prompt =
        new ReadingGate.Prompt(
            Math.max(0, message.getReadMicros()),
            Math.max(0, message.getEventMicros()),
            Math.max(1, message.getPauseMicros()),
            Math.max(0, message.getMaxWaitMicros()),
            message.isMustSend());
    ReadingGate.Grant grant = gate.request(prompt, pace.expected(nowNanos), running, nowNanos);
    count(grant, message.isMustSend());
    ReadingPermitReply reply =
        new ReadingPermitReply(
            message.getNumber(),
            grant.granted(),
            (int) Math.min(Integer.MAX_VALUE, grant.waitMicros()),
            reading(nowNanos));
    if (pace.isKnown()) {
      reply.setPacePercent(pace.lastPercent());
      reply.setPaceMillisAgo(ageMillis(nowNanos));
    }
    PeerMessages.send(gateway, ResidencyMessage.readingPermitReply(reply));
  }

  /** Adds the pace and what is being read to a status. */
  void describe(EndpointStatus status, long nowNanos) {
    if (pace.isKnown()) {
      status.setPacePercent(pace.lastPercent());
      status.setPaceMillisAgo(ageMillis(nowNanos));
      status.setReadingMicros(reading(nowNanos));
    }
  }

  /** Returns the counters as text. */
  String metrics() {
    return "comfreygap_prompts_granted_total "
        + granted
        + "\ncomfreygap_prompts_delayed_total "
        + delayed
        + "\ncomfreygap_prompts_refused_total "
        + refused
        + "\ncomfreygap_prompts_sent_regardless_total "
        + forced
        + "\ncomfreygap_engine_pace_percent "
        + pace.lastPercent()
        + "\ncomfreygap_engine_usual_pace_percent "
        + Math.round(100 * pace.usual())
        + "\n";
  }

  private void count(ReadingGate.Grant grant, boolean mustSend) {
    granted += grant.granted() ? 1 : 0;
    delayed += grant.granted() && grant.waitMicros() > 0 ? 1 : 0;
    refused += grant.granted() ? 0 : 1;
    forced += grant.granted() && mustSend ? 1 : 0;
  }

  private int reading(long nowNanos) {
    return (int) Math.min(Integer.MAX_VALUE, gate.readingMicros(SPAN.toNanos(), nowNanos));
  }

  private int ageMillis(long nowNanos) {
    long millis = TimeUnit.NANOSECONDS.toMillis(pace.ageNanos(nowNanos));
    return (int) Math.min(Integer.MAX_VALUE, millis);
  }
}
