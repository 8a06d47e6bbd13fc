package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.comfreygap.protocol.generated.CrashReport;
import org.comfreygap.protocol.generated.EndpointStatus;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.testkit.FakeControl;
import org.comfreygap.testkit.FreePorts;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * By what a gateway knows that an endpoint has ended, and which requests it reports then.
 *
 * <p>Guards against crashes that are not counted because one sign of them is missing, and against
 * innocent requests that are counted.
 */
class CrashDetectorTest {

  private static final Duration WAIT = Duration.ofSeconds(10);

  private final Closer closer = new Closer();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private FakeControl control;
  private EventLog events;
  private EndpointDirectory directory;
  private CrashDetector watch;
  private String address;

  @BeforeEach
  void start() throws Exception {
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    SharedKey key = SharedKey.of("a shared key for tests only".getBytes(StandardCharsets.UTF_8));
    control = closer.register(FakeControl.start(PeerSecurity.of(key)));
    ControlClient client =
        closer.register(new ControlClient(List.of(control.address()), PeerSecurity.of(key)));
    events =
        closer.register(
            new EventLog(
                "gateway-1", new HybridClock(System::currentTimeMillis), new Timeline(1_000)));
    RelayMetrics metrics = closer.register(new RelayMetrics());
    directory = new EndpointDirectory(group.next(), new HeaderDialect(), 1, key, events);
    watch =
        closer.register(
            new CrashDetector(group.next(), client, events, metrics, "gateway-1", Optional::empty));
    directory.onEnded(watch::endpointEnded);
    // Nothing listens there.
    address = Addresses.text(FreePorts.address());
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  @Test
  void reportsWhatBrokeOffWhenTheAddressRefusesConnections() throws Exception {
    Endpoint endpoint = listed("e1", false);

    onLoop(() -> watch.requestInterrupted(endpoint, "fatal"));

    assertThat(reported("e1").getFingerprints()).containsExactly("fatal");
  }

  @Test
  void checksTheAddressOfAnEndpointThatFellSilent() throws Exception {
    Endpoint endpoint = listed("e1", false);

    onLoop(() -> watch.requestDropped(endpoint, "fatal"));

    assertThat(reported("e1").getFingerprints()).containsExactly("fatal");
  }

  /** A silent endpoint breaks nothing off; the sidecar tells that it has started again. */
  @Test
  void reportsWhatWasGivenUpWhenTheSidecarReportsAnotherStart() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> watch.requestAbandoned(endpoint, "fatal"));

    onLoop(() -> ended(endpoint, endpoint.status(status("e2", 2), System.nanoTime())));

    assertThat(reported("e1").getFingerprints()).containsExactly("fatal");
  }

  @Test
  void reportsWhatWasGivenUpWhenTheEndpointStartedAgainUnderItsId() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> ended(endpoint, endpoint.status(status("e1", 1), System.nanoTime())));
    onLoop(() -> watch.requestAbandoned(endpoint, "fatal"));

    onLoop(() -> ended(endpoint, endpoint.status(status("e1", 2), System.nanoTime())));

    assertThat(reported("e1").getFingerprints()).containsExactly("fatal");
  }

  @Test
  void reportsWhatWasGivenUpWhenTheEndpointIsNoLongerListed() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> watch.requestAbandoned(endpoint, "fatal"));

    list();

    assertThat(reported("e1").getFingerprints()).containsExactly("fatal");
  }

  /** Its time was not over when the endpoint was already known to have ended. */
  @Test
  void reportsWhatIsGivenUpAfterTheEndForTheSameCrash() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> watch.requestAbandoned(endpoint, "first"));
    list();
    reported("e1");
    Thread.sleep(300);

    onLoop(() -> watch.requestAbandoned(endpoint, "second"));
    await(() -> control.crashes().size() == 2);

    CrashReport late = control.crashes().get(1);
    assertThat(late.getFingerprints()).containsExactly("second");
    assertThat(late.getCrashedMillisAgo()).isGreaterThanOrEqualTo(300);
  }

  @Test
  void doesNotReportRequestsThatAPlannedStopCutOff() throws Exception {
    Endpoint leaving = listed("e1", true);
    onLoop(() -> watch.requestInterrupted(leaving, "cut"));
    list();

    assertNothingReported();
  }

  @Test
  void doesNotReportRequestsThatTheEndpointSurvived() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> watch.requestAbandoned(endpoint, "survived"));
    onLoop(() -> endpoint.responseReceived(System.nanoTime() + TimeUnit.SECONDS.toNanos(3)));
    list();

    assertNothingReported();
  }

  /** Without a body many innocent requests are equal, and some are at every crash. */
  @Test
  void doesNotReportRequestsThatAreServedElsewhere() throws Exception {
    Endpoint endpoint = listed("e1", false);
    onLoop(() -> watch.served("popular"));
    onLoop(() -> watch.requestInterrupted(endpoint, "popular"));
    list();

    assertNothingReported();
  }

  @Test
  void quarantinesAtOnceWhatItSawAtTwoCrashes() throws Exception {
    control.fault(FakeControl.Fault.NOT_LEADER);
    for (String id : List.of("e1", "e2")) {
      Endpoint endpoint = listed(id, false);
      onLoop(() -> watch.requestAbandoned(endpoint, "fatal"));
      list();
    }

    assertThat(watch.quarantineLeft(() -> "fatal", System.nanoTime())).isPresent();
    assertThat(watch.quarantineLeft(() -> "innocent", System.nanoTime())).isEmpty();
  }

  private void ended(Endpoint endpoint, boolean startedAgain) {
    if (startedAgain) {
      watch.endpointEnded(endpoint, CrashDetector.Detection.NEW_START);
    }
  }

  private Endpoint listed(String id, boolean leaving) throws Exception {
    list(new ListedEndpoint(id, "app", address, "a", 8, leaving, 0, Set.of(), Map.of()));
    return directory.pool("app").get(0);
  }

  private void list(ListedEndpoint... entries) throws Exception {
    onLoop(() -> directory.listed(List.of(entries), Set.of(), System.nanoTime()));
  }

  private CrashReport reported(String endpoint) throws Exception {
    await(() -> !control.crashes().isEmpty());
    CrashReport report = control.crashes().get(0);
    assertThat(report.getEndpoint()).isEqualTo(endpoint);
    return report;
  }

  private void assertNothingReported() throws Exception {
    // Longer than the check of the address takes.
    Thread.sleep(5 * CrashDetector.CHECK_DELAY.toMillis());
    assertThat(control.crashes()).isEmpty();
  }

  private void onLoop(Runnable task) throws Exception {
    group.next().submit(task).get(WAIT.toMillis(), TimeUnit.MILLISECONDS);
  }

  private static EndpointStatus status(String id, long born) {
    return new EndpointStatus(id, born, true, 0, 0, 0, 0, 0, false, List.of());
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + WAIT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("the condition holds in time").isLessThan(end);
      Thread.sleep(10);
    }
  }
}
