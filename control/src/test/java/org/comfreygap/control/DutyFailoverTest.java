package org.comfreygap.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.comfreygap.protocol.generated.HeartbeatReply;
import org.comfreygap.protocol.generated.HeartbeatRequest;
import org.comfreygap.protocol.generated.ProcessKind;
import org.comfreygap.protocol.generated.WindowUsage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests two instances over real connections against a platform that checks each call. */
class DutyFailoverTest {

  private static final long LEASE_MILLIS = 600;
  private static final long WINDOW_MILLIS = 1_000;
  private static final Duration HEARTBEAT = Duration.ofMillis(200);

  /** Requests of one window, counted before the leader changes and stated by two gateways. */
  private final Map<Long, Long> truth = new TreeMap<>();

  @Test
  @Timeout(60)
  void successorReportsOnUnderAHigherNumberAndOddRepliesCostOneCallEach() throws Exception {
    try (Platform platform = new Platform()) {
      String duties =
          """
          duties:
            address: %s
            holder: HOLDER
            asked: [usage, unknown]
            callsPerSecond: 50
            leaseMillis: %d
            usageWindowMillis: %d
            usageError: 0.05
            usageLateMillis: 3000
          """
              .formatted(platform.address(), LEASE_MILLIS, WINDOW_MILLIS);
      MemoryCluster cluster = new MemoryCluster();
      MemoryCluster.Replica first = cluster.add("c1", new ControlState());
      MemoryCluster.Replica second = cluster.add("c2", new ControlState());
      cluster.elect(first);
      try (ControlFixture one = start("c1", first, duties);
          ControlFixture two = start("c2", second, duties)) {
        runUntil(one, () -> platform.accepted() >= 3);
        assertThat(one.call("GET", "/status", null).json().path("duties").path("holder").asText())
            .isEqualTo("c1");
        cluster.elect(second);
        int before = platform.accepted();
        runUntil(two, () -> platform.accepted() >= before + 3);
        assertThat(two.call("GET", "/status", null).json().path("duties").path("holder").asText())
            .isEqualTo("c2");
        // Before the second one stops: it hands leadership back, and the first takes the duties.
        platform.check(truth);
      }
    }
  }

  private static ControlFixture start(String id, MemoryCluster.Replica log, String duties)
      throws Exception {
    return new ControlFixture(
        id, log.state(), log, duties.replace("HOLDER", id), new DutyModelTest.TextDialect());
  }

  /** Counts at two gateways, one of which is ten seconds off by its own clock. */
  private void runUntil(ControlFixture leader, BooleanSupplier done) throws Exception {
    while (!done.getAsBoolean()) {
      long window = System.currentTimeMillis() / WINDOW_MILLIS;
      truth.merge(window, 1L, Long::sum);
      for (String id : List.of("g1", "g2", "g3")) {
        HeartbeatRequest request =
            new HeartbeatRequest(
                ControlFixture.process(id, ProcessKind.GATEWAY, "s1"), 0, false, 0);
        request.setWallMillis(System.currentTimeMillis() + (id.equals("g2") ? 10_000 : 0));
        request.setUsage(
            truth.entrySet().stream()
                .map(one -> new WindowUsage(one.getKey(), Map.of("main/" + id, one.getValue())))
                .toList());
        HeartbeatReply reply = leader.handler().heartbeat(request);
        if (reply.isSetFleetMillis()) {
          assertThat(reply.getFleetMillis() - System.currentTimeMillis()).isBetween(-500L, 500L);
        }
      }
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT.toMillis());
    }
  }

  /** A platform that takes one call a connection; its first calls get odd replies. */
  private static final class Platform implements AutoCloseable {

    private enum Reply {
      ERROR("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
      OVER_RATE("HTTP/1.1 429 Too Many Requests\r\nContent-Length: 0\r\n\r\n"),
      CUT("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort"),
      ENDLESS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
      OK("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");

      private final String text;

      Reply(String text) {
        this.text = text;
      }
    }

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final Queue<Reply> odd =
        new ArrayDeque<>(List.of(Reply.ERROR, Reply.OVER_RATE, Reply.CUT, Reply.ENDLESS));
    private final DutyRules rules = new DutyRules("platform", LEASE_MILLIS);
    private final Thread thread = new Thread(this::serve, "platform");
    private Throwable broken;
    private int accepted;

    Platform() throws IOException {
      thread.setDaemon(true);
      thread.start();
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized int accepted() {
      return broken == null ? accepted : Integer.MAX_VALUE;
    }

    synchronized void check(Map<Long, Long> truth) throws IOException {
      assertThat(broken).isNull();
      assertThat(odd).isEmpty();
      assertThat(rules.turns()).isEqualTo(2);
      // The first window is the one in which the leader began to know the time.
      for (Map.Entry<Long, String> one : rules.windows().entrySet()) {
        Map<String, Long> expected = new HashMap<>();
        for (String id : List.of("g1", "g2", "g3")) {
          expected.put("main/" + id, truth.get(one.getKey()));
        }
        assertThat(one.getValue())
            .isEqualTo(new DutyModelTest.TextDialect().usage(one.getKey(), expected).body());
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }

    private void serve() {
      while (!server.isClosed()) {
        try (Socket socket = server.accept()) {
          answer(socket);
        } catch (IOException e) {
          // The caller gave up the call, or the server is closed.
        }
      }
    }

    private void answer(Socket socket) throws IOException {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
      Map<String, String> head = new HashMap<>();
      for (String line = in.readLine(); line != null && !line.isEmpty(); line = in.readLine()) {
        String[] parts = line.split(": ", 2);
        head.put(parts[0], parts.length > 1 ? parts[1] : "");
      }
      if (!head.containsKey("Content-Length")) {
        // The caller no longer leads and wrote nothing.
        return;
      }
      char[] body = new char[Integer.parseInt(head.get("Content-Length"))];
      for (int read = 0; read < body.length; ) {
        read += in.read(body, read, body.length - read);
      }
      Reply reply = take(head, new String(body));
      socket.getOutputStream().write(reply.text.getBytes(StandardCharsets.UTF_8));
      while (reply == Reply.ENDLESS) {
        socket.getOutputStream().write("1\r\n.\r\n".getBytes(StandardCharsets.UTF_8));
      }
    }

    private synchronized Reply take(Map<String, String> head, String body) throws IOException {
      try {
        rules.take(
            new DutyState.Holding(0, head.get("Holder"), Long.parseLong(head.get("Fencing"))),
            Codec.MAPPER.readTree(body).get("window").asLong(),
            body,
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
      } catch (AssertionError | RuntimeException e) {
        broken = e;
      }
      Reply reply = odd.isEmpty() ? Reply.OK : odd.poll();
      accepted += reply == Reply.OK ? 1 : 0;
      return reply;
    }
  }
}
