package org.comfreygap.relay.residency;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.comfreygap.decisions.EndpointPace;
import org.comfreygap.decisions.ReadingGate;
import org.comfreygap.decisions.ReadingShares;
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

  /**
   * Age of a pace by which no prompt is granted while streams run: a part of the shortest spells
   * and of the limits on pauses.
   */
  static final Duration MAX_AGE = Duration.ofMillis(60);

  /** Time within which the engine states its pace; it takes about a millisecond. */
  static final Duration ASK_TIMEOUT = Duration.ofMillis(30);

  /**
   * Time after a gateway has seen pauses that are too long in which a pace is assumed; gateways ask
   * several times a second while they see them.
   */
  static final Duration ASSUMED_TIME = Duration.ofSeconds(5);

  private static final double PERCENT = 100;
  private static final double SPANS_MICROS = ReadingShares.SPAN.toNanos() / 1e3;

  private final EngineDialect dialect;
  private final OptionalInt assumedPercent;
  private final EndpointPace pace = new EndpointPace();
  private final ReadingGate gate = new ReadingGate();
  private final ReadingShares shares = new ReadingShares();
  private final List<Runnable> waiting = new ArrayList<>();
  private Optional<HttpPeerClient> asking = Optional.empty();
  private Supplier<Optional<String>> askingPath = Optional::empty;
  private boolean statesPace;
  private boolean pausesSeen;
  private long pausesSeenNanos;
  private long asked;
  private long granted;
  private long delayed;
  private long refused;
  private long forced;

  /**
   * Creates permits without a known pace.
   *
   * @param assumedPercent pace of an engine that states none, while streams pause too long
   */
  ReadingPermits(EngineDialect dialect, OptionalInt assumedPercent) {
    this.dialect = dialect;
    this.assumedPercent = assumedPercent;
  }

  /** Reads the pace from all responses to a client's calls. */
  void observe(HttpPeerClient client) {
    client.onResponse(this::read);
  }

  /** Records the pace that a response states. */
  void read(HttpPeerClient.Response response, long sentNanos) {
    dialect.readPace(response).ifPresent(percent -> observed(percent, System.nanoTime()));
  }

  /** Records that the engine has reported, with or without a pace. */
  void reported(long nowNanos) {
    if (isAssumed(nowNanos)) {
      pace.stated(assumedPercent.getAsInt(), nowNanos);
    }
  }

  /** Records the pace that a gateway has read just now. */
  void observed(int percent, long nowNanos) {
    statesPace = true;
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
   * Asks the engine for its pace with {@code client} when a prompt is to be granted and the pace
   * known is too old.
   *
   * @param path path of the health check; empty when the engine is not to be asked
   */
  void ask(HttpPeerClient client, Supplier<Optional<String>> path) {
    observe(client);
    asking = Optional.of(client);
    askingPath = path;
  }

  /**
   * Replies to a request of a gateway, at the latest when the engine has stated its pace.
   *
   * @param running requests that run at the engine
   */
  void requested(Channel gateway, ReadingPermitRequest message, int running, long nowNanos) {
    if (message.isPausesTooLong()) {
      pausesSeen = true;
      pausesSeenNanos = nowNanos;
      reported(nowNanos);
    }
    boolean fresh = !statesPace || pace.ageNanos(nowNanos) < MAX_AGE.toNanos();
    Optional<String> path = fresh || running == 0 ? Optional.empty() : askingPath.get();
    if (asking.isEmpty() || path.isEmpty()) {
      decide(gateway, message, running, nowNanos);
      return;
    }
    waiting.add(() -> decide(gateway, message, running, System.nanoTime()));
    if (!asking.get().busy()) {
      asked++;
      asking
          .get()
          .call(
              HttpMethod.GET,
              path.get(),
              Map.of(),
              "",
              response -> decideWaiting(),
              cause -> decideWaiting());
    }
  }

  /** Returns true while a pace is taken for one that the engine does not state. */
  private boolean isAssumed(long nowNanos) {
    return !statesPace
        && assumedPercent.isPresent()
        && pausesSeen
        && nowNanos - pausesSeenNanos < ASSUMED_TIME.toNanos();
  }

  private boolean isStated(long nowNanos) {
    return pace.isKnown() && (statesPace || isAssumed(nowNanos));
  }

  private void decideWaiting() {
    List<Runnable> all = new ArrayList<>(waiting);
    waiting.clear();
    all.forEach(Runnable::run);
  }

  private void decide(Channel gateway, ReadingPermitRequest message, int running, long nowNanos) {
    ReadingGate.Prompt prompt =
        new ReadingGate.Prompt(
            Math.max(0, message.getReadMicros()),
            Math.max(0, message.getEventMicros()),
            Math.max(1, message.getPauseMicros()),
            Math.max(0, message.getMaxWaitMicros()),
            message.isMustSend());
    ReadingGate.Grant grant =
        gate.request(prompt, pace.expected(nowNanos), pace.cautious(nowNanos), running, nowNanos);
    count(grant, message.isMustSend());
    double budget =
        ReadingGate.budgetMicros(
            prompt.pauseMicros(), prompt.eventMicros(), pace.cautious(nowNanos));
    double capacity = budget * SPANS_MICROS / prompt.pauseMicros();
    boolean crowded =
        grant.granted()
            && pace.isKnown()
            && message.isSetAdapterHash()
            && shares.granted(message.getAdapterHash(), prompt.readMicros(), capacity, nowNanos);
    ReadingPermitReply reply =
        new ReadingPermitReply(
            message.getNumber(),
            grant.granted(),
            (int) Math.min(Integer.MAX_VALUE, grant.waitMicros()),
            reading(nowNanos));
    reply.setCrowded(crowded);
    if (isStated(nowNanos)) {
      reply.setPacePercent(pace.lastPercent());
      reply.setPaceMillisAgo(ageMillis(nowNanos));
    }
    PeerMessages.send(gateway, ResidencyMessage.readingPermitReply(reply));
  }

  /** Adds the pace and what is being read to a status. */
  void describe(EndpointStatus status, long nowNanos) {
    if (isStated(nowNanos)) {
      status.setPacePercent(pace.lastPercent());
      status.setPaceMillisAgo(ageMillis(nowNanos));
      status.setReadingMicros(reading(nowNanos));
      status.setUsualPacePercent((int) Math.round(PERCENT * pace.usual()));
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
        + "\ncomfreygap_engine_pace_asked_total "
        + asked
        + "\ncomfreygap_engine_pace_percent "
        + pace.lastPercent()
        + "\ncomfreygap_engine_usual_pace_percent "
        + Math.round(PERCENT * pace.usual())
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
