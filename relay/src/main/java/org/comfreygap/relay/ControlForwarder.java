package org.comfreygap.relay;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailable;
import org.comfreygap.runtime.DutyThread;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.SettingsReload;
import org.comfreygap.runtime.Timeline;

/**
 * Control on an instance without a disk: it holds no replica and sends every caller to the leader.
 *
 * <pre>{@code
 * AutoCloseable forwarder = ControlForwarder.start(settingsFile);
 * }</pre>
 *
 * <p>The leader serves HTTP at the port that this instance serves it at, since ports are equal on
 * all instances. Invariants: it never votes, stores or acknowledges anything; callers get 307 while
 * a leader answers and 503 otherwise. Thread safety: {@link #close} may be called from any thread.
 *
 * @since 0.3
 */
public final class ControlForwarder implements AutoCloseable {

  // An election takes up to 600 ms, so callers are sent to a new leader soon after it.
  private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);
  // A suspended leader answers nothing; the others elect another one within this time.
  private static final Duration LONGEST_TRY = Duration.ofMillis(500);
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final int OK = 200;

  private final ForwarderSettings settings;
  private final ControlClient control;
  private final ProcessIdentity identity;
  private final EventLog events;
  private final Closer closer = new Closer();
  private Optional<InetSocketAddress> knownLeader = Optional.empty();

  private ControlForwarder(ForwarderSettings settings, ControlClient control, EventLog events) {
    this.settings = settings;
    this.control = control;
    this.events = events;
    // The empty address tells control that this process serves no calls.
    this.identity =
        new ProcessIdentity(
            settings.processId(),
            ProcessKind.CONTROL,
            UUID.randomUUID().toString(),
            settings.zone(),
            "",
            Addresses.text(settings.adminAddress()));
  }

  /**
   * Starts a forwarder from the settings file of a control instance.
   *
   * @throws Exception when the settings are invalid or an address cannot be used
   */
  public static AutoCloseable start(Path settingsFile) throws Exception {
    ForwarderSettings settings = ForwarderSettings.load(settingsFile);
    PeerSecurity security = PeerSecurity.from(settings.file());
    EventLog events =
        new EventLog(
            settings.processId(),
            new HybridClock(System::currentTimeMillis),
            new Timeline(Timeline.DEFAULT_CAPACITY));
    ControlForwarder forwarder =
        new ControlForwarder(settings, new ControlClient(settings.control(), security), events);
    forwarder.closer.register(events);
    try {
      forwarder.open(settingsFile);
    } catch (Exception e) {
      forwarder.closer.close();
      throw e;
    }
    events.record(RuntimeEvent.PROCESS_STARTED, Field.of("replica", false));
    return forwarder;
  }

  @Override
  public void close() {
    events.record(RuntimeEvent.PROCESS_STOPPING);
    events.record(RuntimeEvent.PROCESS_STOPPED);
    closer.close();
  }

  private void open(Path settingsFile) {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    PlainHttpServer.start(group, settings.httpAddress(), this::forward);
    PlainHttpServer.start(group, settings.adminAddress(), this::adminPage);
    closer.register(control);
    closer.register(
        SettingsReload.start(
            settingsFile, events, file -> control.seeds(ForwarderSettings.load(file).control())));
    closer.register(DutyThread.every("control-heartbeat", HEARTBEAT_PERIOD, this::sendHeartbeat));
  }

  private PlainHttpServer.Page forward(String uri) {
    return control
        .leader()
        .map(leader -> leader.getHostString() + ":" + settings.httpAddress().getPort())
        .map(address -> PlainHttpServer.Page.elsewhere("http://" + address + uri))
        .orElseGet(
            () ->
                PlainHttpServer.Page.unavailable(
                    RETRY_AFTER_SECONDS, "no control leader is known\n"));
  }

  private PlainHttpServer.Page adminPage(String uri) {
    if (uri.startsWith("/timeline")) {
      return PlainHttpServer.timeline(events.timeline(), uri);
    }
    return uri.startsWith("/metrics")
        ? PlainHttpServer.Page.text(
            OK, "comfreygap_control_leader_known " + (control.leader().isPresent() ? 1 : 0) + "\n")
        : PlainHttpServer.Page.notFound();
  }

  private void sendHeartbeat() {
    try {
      HeartbeatReply reply =
          control.callLeader(
              HEARTBEAT_TIMEOUT,
              LONGEST_TRY,
              client -> client.heartbeat(new HeartbeatRequest(identity, 0, false, 0)));
      control.addresses(reply.getControlAddresses().stream().map(Addresses::parse).toList());
    } catch (ControlUnavailable e) {
      events.record(RuntimeEvent.CONTROL_UNREACHABLE, Field.of("cause", e.getMessage()));
    }
    Optional<InetSocketAddress> leader = control.leader();
    if (!leader.equals(knownLeader)) {
      knownLeader = leader;
      events.record(
          RuntimeEvent.CONTROL_LEADER_CHANGED,
          Field.of("leader", leader.map(Addresses::text).orElse("none")));
    }
  }
}
