package org.comfreygap.relay;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.comfreygap.decisions.LimitTolerance;
import org.comfreygap.decisions.LoopPauses;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.decisions.PauseWatch;
import org.comfreygap.decisions.RetryBudgets;
import org.comfreygap.protocol.generated.Change;
import org.comfreygap.protocol.generated.ChangeKind;
import org.comfreygap.runtime.Closer;
import org.comfreygap.runtime.ControlClient;
import org.comfreygap.runtime.EventLog;
import org.comfreygap.runtime.HybridClock;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.runtime.Timeline;
import org.comfreygap.settings.Priority;
import org.comfreygap.settings.SettingsView;
import org.comfreygap.testkit.FakeControl;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests requests in whose steps this process has an error.
 *
 * <p>Guards against callers who get neither an answer nor the end of their connection, and against
 * an error of one request that others have to bear.
 */
class FailingStepTest {

  private static final Duration WAIT = Duration.ofSeconds(5);
  private static final int TIMEOUT_MILLIS = 500;

  private final Closer closer = new Closer();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private SlowEndpoint sound;
  private SlowEndpoint breaking;
  private SlowEndpoint silent;
  private EventLog events;
  private RelayContext relay;

  /** What happens to a request while a step of it fails. */
  enum Situation {
    SOUND,
    BREAKING,
    SILENT,
    EMPTY,
    NO_ROUTE,
    /** Its caller leaves while it runs. */
    LEFT;

    /** Returns the first part of the request's path, which is the name of its pool. */
    String pool() {
      return this == LEFT ? SILENT.pool() : name().toLowerCase(Locale.ROOT);
    }
  }

  /** A caller that may fail when it gets its response. */
  private static final class RecordingCaller implements Caller {

    private final CompletableFuture<String> end = new CompletableFuture<>();
    private final boolean failing;

    RecordingCaller(boolean failing) {
      this.failing = failing;
    }

    @Override
    public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
      body.release();
      if (failing) {
        throw new IllegalStateException("the response cannot be written");
      }
      end.complete(String.valueOf(status.code()));
    }

    @Override
    public void beginResponse(
        HttpResponseStatus status, HttpHeaders headers, OptionalLong length) {}

    @Override
    public void sendPart(ByteBuf bytes) {
      bytes.release();
    }

    @Override
    public void endResponse() {
      end.complete("whole");
    }

    @Override
    public void abort() {
      end.complete("aborted");
    }

    @Override
    public boolean readArrived() {
      return true;
    }

    @Override
    public boolean writable() {
      return true;
    }
  }

  /** A request that was begun. */
  private record Begun(Situation situation, RecordingCaller caller, ByteBuf body) {}

  @BeforeEach
  void start() throws Exception {
    closer.register(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly());
    sound = closer.register(new SlowEndpoint("sound", 10));
    breaking = closer.register(new SlowEndpoint("breaking", 10));
    breaking.breakOff();
    silent = closer.register(new SlowEndpoint("silent", WAIT.toMillis()));
    relay = createRelay();
  }

  @AfterEach
  void stop() {
    closer.close();
  }

  /** Guards against an exception on the event loop that costs the caller its answer. */
  @ParameterizedTest
  @MethodSource("collaborators")
  void endsEveryRequestWhenACollaboratorFails(String collaborator) throws Exception {
    List<Begun> requests = new ArrayList<>();
    RelayContext failing = without(collaborator);
    for (Situation situation : Situation.values()) {
      requests.add(begin(failing, situation, new RecordingCaller(false)));
    }

    for (Begun request : requests) {
      if (request.situation() != Situation.LEFT) {
        assertThat(request.caller().end).as(request.situation().name()).succeedsWithin(WAIT);
      }
      GatewayFleet.await(() -> request.body().refCnt() == 0);
      assertThat(errors(request.situation())).hasSizeLessThanOrEqualTo(1);
    }
    // What failed there costs later requests nothing.
    Begun later = begin(relay, Situation.SOUND, new RecordingCaller(false));
    assertThat(later.caller().end).succeedsWithin(WAIT).isEqualTo("200");
  }

  /**
   * Returns all but the loop, on which errors occur, the log, which gets them, and the count of
   * held bytes, without which no request is created: its caller's connection ends instead.
   */
  static Stream<String> collaborators() {
    return Arrays.stream(RelayContext.class.getRecordComponents())
        .map(RecordComponent::getName)
        .filter(name -> !Set.of("loop", "events", "heldBytes").contains(name));
  }

  /** Guards against an answer that says "not run" although the request was sent. */
  @Test
  void doesNotPromiseThatARequestHasNotRunAfterItWasSent() throws Exception {
    Begun request = begin(without("usage"), Situation.SOUND, new RecordingCaller(false));

    assertThat(request.caller().end).succeedsWithin(WAIT).isEqualTo("502");
    assertThat(sound.requests()).hasSize(1);
    awaitOneError(Situation.SOUND);
  }

  /** Guards against a whole response that is lost because what is learnt of it fails. */
  @Test
  void sendsResponseBeforeItLearnsFromIt() throws Exception {
    Begun request = begin(without("durations"), Situation.SOUND, new RecordingCaller(false));

    assertThat(request.caller().end).succeedsWithin(WAIT).isEqualTo("200");
    GatewayFleet.await(() -> request.body().refCnt() == 0);
    awaitOneError(Situation.SOUND);
  }

  /** Guards against a connection that stays open without an answer when writing it fails. */
  @ParameterizedTest
  @MethodSource("situationsWithAnswer")
  void closesTheConnectionWhenTheAnswerCannotBeWritten(Situation situation) throws Exception {
    Begun request = begin(relay, situation, new RecordingCaller(true));

    assertThat(request.caller().end).succeedsWithin(WAIT).isEqualTo("aborted");
    GatewayFleet.await(() -> request.body().refCnt() == 0);
    awaitOneError(situation);
  }

  static Stream<Situation> situationsWithAnswer() {
    return Arrays.stream(Situation.values()).filter(one -> one != Situation.LEFT);
  }

  /** Guards against requests that wait for ever because another one failed when it was told. */
  @Test
  void tellsEveryRequestOfItsCreditWhenOneFails() throws Exception {
    CompletableFuture<Void> told = new CompletableFuture<>();
    loop.submit(
            () -> {
              long now = System.nanoTime();
              reserve(
                  now,
                  () -> {
                    throw new IllegalStateException("this request fails");
                  });
              reserve(now, () -> told.complete(null));
            })
        .get();

    assertThat(told).succeedsWithin(WAIT);
  }

  private void reserve(long now, Runnable decided) {
    relay.credit().reserve("main/customer", 100, Priority.NORMAL, WAIT, now, decided);
  }

  private Begun begin(RelayContext context, Situation situation, RecordingCaller caller)
      throws Exception {
    ByteBuf body = Unpooled.copiedBuffer("order", StandardCharsets.US_ASCII);
    HttpRequest head =
        new DefaultHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/" + situation.pool() + "/1");
    head.headers().set("Host", "127.0.0.1").set(HeaderDialect.REQUEST, situation.name());
    CallerRequest request = new HeaderDialect().readRequest(head);
    loop.submit(
            () -> {
              Exchange exchange =
                  new Exchange(context, caller, head, body, request, System.nanoTime());
              exchange.begin();
              if (situation == Situation.LEFT) {
                loop.schedule(exchange::callerDisconnected, 100, TimeUnit.MILLISECONDS);
              }
            })
        .get();
    return new Begun(situation, caller, body);
  }

  private void awaitOneError(Situation situation) throws InterruptedException {
    GatewayFleet.await(() -> !errors(situation).isEmpty());
    assertThat(errors(situation)).hasSize(1);
  }

  private List<?> errors(Situation situation) {
    return events.timeline().eventsSince(0, Optional.empty(), Optional.empty()).stream()
        .filter(entry -> entry.name().equals("REQUEST_STEP_FAILED"))
        .filter(entry -> situation.name().equals(entry.fields().get("request")))
        .toList();
  }

  /**
   * Returns the context with nothing in place of one collaborator, so that each use of it throws.
   */
  private RelayContext without(String collaborator) throws Exception {
    RecordComponent[] components = RelayContext.class.getRecordComponents();
    Object[] values = new Object[components.length];
    Class<?>[] types = new Class<?>[components.length];
    for (int i = 0; i < components.length; i++) {
      types[i] = components[i].getType();
      values[i] =
          components[i].getName().equals(collaborator)
              ? null
              : components[i].getAccessor().invoke(relay);
    }
    return RelayContext.class.getDeclaredConstructor(types).newInstance(values);
  }

  private RelayContext createRelay() throws Exception {
    SharedKey key = SharedKey.of("a shared key for tests only".getBytes(StandardCharsets.UTF_8));
    FakeControl control = closer.register(FakeControl.start(PeerSecurity.of(key)));
    ControlClient client =
        closer.register(new ControlClient(List.of(control.address()), PeerSecurity.of(key)));
    events =
        closer.register(
            new EventLog(
                "gateway-1", new HybridClock(System::currentTimeMillis), new Timeline(1_000)));
    RelayMetrics metrics = closer.register(new RelayMetrics());
    HeaderDialect dialect = new HeaderDialect();
    EndpointDirectory directory = new EndpointDirectory(loop, dialect, 1, key, events);
    loop.submit(() -> directory.updateListing(listed(), Set.of(), System.nanoTime())).get();
    WaitQueue waitQueue = new WaitQueue(loop, events);
    RouteTable table = table();
    return new RelayContext(
        loop,
        dialect,
        directory,
        new Placement(directory, "a", PacedCost.Preferences.DEFAULT, new Random(1)),
        waitQueue,
        new PoolDemands(directory, waitQueue, "a", () -> table),
        closer.register(
            new CreditManager(
                loop, client, events, "gateway-1", "start-1", () -> 1, LimitTolerance.NONE)),
        closer.register(
            new CrashDetector(loop, client, events, metrics, "gateway-1", Optional::empty)),
        new EndpointLimits(loop, key, "gateway-1", WAIT, () -> 1, directory::find, events, metrics),
        closer.register(new StreamRegister(loop, client, "gateway-1", () -> 1, events, metrics)),
        new RetryBudgets(0.2, 10, Duration.ofSeconds(10), System.nanoTime()),
        Optional.empty(),
        new PauseWatch(),
        new LoopPauses(),
        new LearnedDurations(metrics),
        new Outages(),
        HeldBytes.ofHeap(),
        new UsageCounter(Duration.ZERO, Duration.ZERO),
        events,
        metrics,
        () -> table,
        () -> true,
        OptionalLong::empty,
        OptionalInt::empty);
  }

  private List<ListedEndpoint> listed() {
    return Stream.of(sound, breaking, silent)
        .map(one -> one.listed().strip().split(" "))
        .map(
            parts ->
                new ListedEndpoint(
                    parts[0],
                    parts[0],
                    parts[1],
                    "a",
                    Optional.of(parts[2]),
                    8,
                    ListedEndpoint.Departure.NONE,
                    0,
                    Set.of(),
                    Map.of()))
        .toList();
  }

  private static RouteTable table() {
    List<Change> changes = new ArrayList<>();
    changes.add(put("/routing/publication", "{\"version\":1}"));
    for (Situation situation :
        List.of(Situation.SOUND, Situation.BREAKING, Situation.SILENT, Situation.EMPTY)) {
      String pool = situation.pool();
      changes.add(
          put("/routing/pools/" + pool, "{\"healthPath\":\"/health\",\"maxConnections\":50}"));
      changes.add(
          put(
              "/routing/routes/" + pool,
              GatewayFleet.route(pool, "unsafe", TIMEOUT_MILLIS)
                  .replace("\"pool\":\"" + GatewayFleet.POOL, "\"pool\":\"" + pool)));
    }
    return RouteTable.of(SettingsView.empty().with(changes, 1), RouteTable.empty(), 0, 0);
  }

  private static Change put(String path, String document) {
    return new Change(path, ChangeKind.PUT, 1).setDocument(document);
  }
}
