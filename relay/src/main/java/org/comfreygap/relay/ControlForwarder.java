package org.comfreygap.relay;

import io.netty.channel.nio.NioEventLoopGroup;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessIdentity;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.ControlUnavailableException;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.Field;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.LeaderChangeRecorder;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.runtime.RepeatingTask;
import org.comfreygap.runtime.RuntimeEvent;
import org.comfreygap.runtime.SettingsFileWatcher;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The control process of an instance without a disk: it holds no replica and redirects every caller
 * to the leader.
 *
 * <pre>{@code
 * AutoCloseable forwarder = ControlForwarder.start(settingsFile);
 * }</pre>
 *
 * <p>The leader serves HTTP at the same port as this process, since ports are equal on all
 * instances. Invariants: it never votes, stores or acknowledges anything; callers get 307 while a
 * leader responds and 503 otherwise. Thread safety: {@link #close} may be called from any thread.
 *
 * @since 0.3
 */
public final class ControlForwarder implements AutoCloseable {

  // An election takes up to 600 ms, so callers are redirected to a new leader soon after it.
  private static final Duration HEARTBEAT_PERIOD = Duration.ofMillis(500);
  private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1_000);
  // A suspended leader does not respond; the others elect a new one within this time.
  private static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(500);
  private static final int RETRY_AFTER_SECONDS = 1;
  private static final int OK = 200;

  /**
   * The settings of a control process; those that only a replica needs are accepted and ignored.
   */
  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("httpAddress", FieldRule.ipPort())
          .optional("dataFolder", FieldRule.text("an empty path", String::isEmpty))
          .optional("createLog", FieldRule.bool())
          .optional("toleratedLosses", FieldRule.integer(0, 4))
          .optional("operators", FieldRule.listOf(FieldRule.name(), 0))
          // Only a replica performs duties, and checks their settings.
          .optional("duties", (path, value, faults) -> {})
          .build();

  private static final Map<String, Integer> BLOCK_PORTS =
      Map.of("adminAddress", PortBlock.CONTROL_ADMIN);

  private final ProcessSettings settings;
  private final InetSocketAddress httpAddress;
  private final ControlClient control;
  private final ProcessIdentity identity;
  private final EventLog events;
  private final LeaderChangeRecorder leaderChanges;
  private final Closer closer = new Closer();

  private ControlForwarder(ProcessSettings settings, ControlClient control, EventLog events) {
    this.settings = settings;
    this.httpAddress = settings.address("httpAddress");
    this.control = control;
    this.events = events;
    this.leaderChanges = new LeaderChangeRecorder(events);
    // An empty address states that this process serves no calls.
    this.identity =
        new ProcessIdentity(
            settings.text("processId"),
            ProcessKind.CONTROL,
            UUID.randomUUID().toString(),
            settings.text("zone"),
            "",
            settings.text("adminAddress"));
  }

  /**
   * Starts a forwarder from the settings file of a control instance.
   *
   * @throws Exception when the settings are invalid or an address cannot be used
   */
  public static AutoCloseable start(Path settingsFile) throws Exception {
    ProcessSettings settings = load(settingsFile);
    PeerSecurity security = PeerSecurity.from(settings);
    EventLog events =
        new EventLog(
            settings.text("processId"),
            new HybridClock(System::currentTimeMillis),
            new Timeline(Timeline.DEFAULT_CAPACITY));
    ControlForwarder forwarder =
        new ControlForwarder(
            settings, new ControlClient(settings.addresses("control"), security), events);
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
    PlainHttpServer.start(group, httpAddress, this::forward);
    PlainHttpServer.start(group, settings.address("adminAddress"), this::adminPage);
    closer.register(control);
    closer.register(
        SettingsFileWatcher.start(
            settingsFile, events, file -> control.seeds(load(file).addresses("control"))));
    closer.register(
        RepeatingTask.every("control-heartbeat", HEARTBEAT_PERIOD, this::sendHeartbeat));
  }

  private PlainHttpServer.Page forward(String uri) {
    return control
        .leader()
        .map(leader -> leader.getHostString() + ":" + httpAddress.getPort())
        .map(address -> PlainHttpServer.Page.redirect("http://" + address + uri))
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
              ATTEMPT_TIMEOUT,
              client -> client.heartbeat(new HeartbeatRequest(identity, 0, false, 0)));
      control.addresses(reply.getControlAddresses().stream().map(Addresses::parse).toList());
    } catch (ControlUnavailableException e) {
      events.record(RuntimeEvent.CONTROL_UNREACHABLE, Field.of("cause", e.getMessage()));
    }
    leaderChanges.observe(control.leader());
  }

  private static ProcessSettings load(Path file) throws InvalidSettingsException {
    return ProcessSettings.load(file, SCHEMA, BLOCK_PORTS);
  }
}
