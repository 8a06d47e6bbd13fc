package org.comfreygap.sidecar;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TIOStreamTransport;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.AttemptRequest;
import org.comfreygap.runtime.PeerSecurity;
import org.comfreygap.runtime.SharedKey;
import org.comfreygap.testkit.RawHttpServer;

/**
 * Measures the latency that the sidecar adds on loopback: each event of a response carries the time
 * at which the engine sent it. Arguments: number of streams, events per stream. Prints
 * microseconds.
 */
public final class HopLatency {

  private static final long EVENT_MILLIS = 65;
  private static final Set<String> RUNNING = ConcurrentHashMap.newKeySet();

  private HopLatency() {}

  /** Runs the measurement without and with the sidecar. */
  public static void main(String[] args) throws Exception {
    int streams = args.length > 0 ? Integer.parseInt(args[0]) : 500;
    int events = args.length > 1 ? Integer.parseInt(args[1]) : 100;
    PeerSecurity security = PeerSecurity.of(SidecarFixture.KEY);
    try (RawHttpServer engine =
            new RawHttpServer(
                new InetSocketAddress("127.0.0.1", 0), (q, r) -> answer(q, r, events));
        StubControl control = new StubControl(security)) {
      settings(control, streams);
      int port = SidecarFixture.freePort();
      int admin = SidecarFixture.freePort();
      Process sidecar = startSidecar(engine.port(), port, admin, control.address());
      SidecarFixture.await("the sidecar is ready", () -> ready(admin));
      status("idle", sidecar);
      for (String round : List.of("warm-up", "measured")) {
        long[] direct = run(streams, sent -> direct(engine.port(), sent));
        System.gc();
        long[] hop = run(streams, sent -> throughSidecar(port, sent));
        print(round + " direct", direct);
        print(round + " sidecar", hop);
        System.out.printf(
            "%s added_p50_us %d added_p99_us %d%n",
            round, at(hop, 0.5) - at(direct, 0.5), at(hop, 0.99) - at(direct, 0.99));
      }
      status("after", sidecar);
      sidecar.destroy();
      System.out.println("sidecar exit " + sidecar.waitFor());
      System.exit(0);
    }
  }

  private static void status(String when, Process sidecar) throws java.io.IOException {
    Files.readAllLines(Path.of("/proc/" + sidecar.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmRSS") || line.startsWith("Threads"))
        .forEach(line -> System.out.println(when + " sidecar " + line.replaceAll("\\s+", " ")));
  }

  /** Starts the program with the options of {@code bin/comfreygap-sidecar}. */
  private static Process startSidecar(int engine, int port, int admin, String control)
      throws Exception {
    Path folder = Files.createTempDirectory("hop");
    System.out.println("logs in " + folder);
    Path key = Files.writeString(folder.resolve("key"), SidecarFixture.KEY_TEXT);
    Path settings =
        Files.writeString(
            folder.resolve("sidecar.yaml"),
            """
            processId: sidecar-1
            zone: z1
            adminAddress: 127.0.0.1:%d
            control: ["%s"]
            security: {sharedKeyFile: %s}
            endpoint: engine-1
            attemptAddress: 127.0.0.1:%d
            endpointUrl: http://127.0.0.1:%d
            """
                .formatted(admin, control, key, port, engine));
    return new ProcessBuilder(
            "java",
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-Xlog:gc:file=" + folder.resolve("gc.log"),
            "-cp",
            System.getProperty("java.class.path").replaceAll("[^:]*test-classes:", ""),
            "org.comfreygap.sidecar.SidecarMain",
            settings.toString())
        .redirectErrorStream(true)
        .redirectOutput(folder.resolve("log").toFile())
        .start();
  }

  private static boolean ready(int admin) {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + admin + "/ready").toURL().openConnection();
      return connection.getResponseCode() == 200;
    } catch (java.io.IOException e) {
      return false;
    }
  }

  /** Reads one stream and adds the latency of each event in nanoseconds. */
  private interface Stream {

    void read(ConcurrentLinkedQueue<Long> latencies) throws Exception;
  }

  private static long[] run(int streams, Stream stream) throws Exception {
    ConcurrentLinkedQueue<Long> latencies = new ConcurrentLinkedQueue<>();
    CountDownLatch done = new CountDownLatch(streams);
    for (int i = 0; i < streams; i++) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  Thread.sleep(ThreadLocalRandom.current().nextInt(1_000));
                  stream.read(latencies);
                } catch (Exception e) {
                  System.err.println("a stream failed: " + e);
                } finally {
                  done.countDown();
                }
              });
      thread.setDaemon(true);
      thread.start();
    }
    done.await();
    return latencies.stream().mapToLong(Long::longValue).sorted().toArray();
  }

  private static void direct(int port, ConcurrentLinkedQueue<Long> latencies) throws Exception {
    HttpURLConnection connection = connect(port, "/v1/completions");
    connection.setRequestProperty("X-Request-Id", "direct");
    connection.getOutputStream().write("{}".getBytes(StandardCharsets.UTF_8));
    BufferedReader reader =
        new BufferedReader(new InputStreamReader(connection.getInputStream(), "UTF-8"));
    String line = reader.readLine();
    while (line != null) {
      recordLatency(line, latencies);
      line = reader.readLine();
    }
  }

  private static void throughSidecar(int port, ConcurrentLinkedQueue<Long> latencies)
      throws Exception {
    AttemptRequest request = TestGateway.attempt("a", 1);
    byte[] body = new TSerializer(new TCompactProtocol.Factory()).serialize(request);
    HttpURLConnection connection = connect(port, "/attempts");
    connection.setRequestProperty(
        SharedKey.SIGNATURE_HEADER, SidecarFixture.KEY.signHttp("/attempts", body));
    connection.getOutputStream().write(body);
    TCompactProtocol protocol =
        new TCompactProtocol(new TIOStreamTransport(connection.getInputStream()));
    boolean last = false;
    while (!last) {
      AttemptFrame frame = new AttemptFrame();
      frame.read(protocol);
      if (frame.getBody().isSetData()) {
        String text = new String(frame.getBody().getData().getBytes(), StandardCharsets.UTF_8);
        for (String line : text.split("\n")) {
          recordLatency(line, latencies);
        }
      }
      if (frame.getBody().isSetRefusal() || frame.getBody().isSetFailure()) {
        throw new IllegalStateException(frame.getBody().toString());
      }
      last = frame.getBody().isSetFinish();
    }
  }

  private static void recordLatency(String line, ConcurrentLinkedQueue<Long> latencies) {
    if (line.startsWith("data: t")) {
      latencies.add(System.nanoTime() - Long.parseLong(line.substring("data: t".length())));
    }
  }

  private static HttpURLConnection connect(int port, String path) throws Exception {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
    connection.setRequestMethod("POST");
    connection.setDoOutput(true);
    connection.setRequestProperty("Content-Type", "application/octet-stream");
    return connection;
  }

  private static void answer(
      RawHttpServer.Request request, RawHttpServer.Response response, int events)
      throws java.io.IOException, InterruptedException {
    if (request.path().startsWith("/engine")) {
      String running =
          RUNNING.stream()
              .map(id -> "{\"attempt\":\"" + id + "\"}")
              .collect(Collectors.joining(","));
      String state =
          "{\"bootId\":\"b1\",\"uptimeMillis\":600000,\"resident\":[\"blue/a@v1\"],\"running\":["
              + running
              + "]}";
      response.send(
          200,
          Map.of("content-type", "application/json", "x-boot-id", "b1"),
          state.getBytes(StandardCharsets.UTF_8));
      return;
    }
    String id = request.header("x-request-id");
    RUNNING.add(id);
    response.beginChunked(
        200,
        Map.of(
            "content-type", "text/event-stream",
            "x-boot-id", "b1",
            "x-request-id", id));
    for (int i = 0; i < events; i++) {
      response.sendChunk(("data: t" + System.nanoTime() + "\n\n").getBytes(StandardCharsets.UTF_8));
      Thread.sleep(EVENT_MILLIS);
    }
    response.sendChunk("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
    response.endChunked();
    RUNNING.remove(id);
  }

  private static void settings(StubControl control, int streams) {
    control.put("/platform/zones/z1", "{\"state\":\"in\"}");
    control.put("/teams/blue", "{}");
    control.put("/teams/blue/customers/press", "{}");
    control.put(
        "/teams/blue/customers/press/keys/k1",
        "{\"sha256\":\"" + "ab".repeat(32) + "\",\"state\":\"active\"}");
    control.put("/teams/blue/adapters/a", "{\"baseModel\":\"base\",\"customers\":[\"*\"]}");
    control.put(
        "/platform/endpoints/engine-1",
        SidecarFixture.document(
            "engine", "\"baseModel\":\"base\"", 4, streams, "1,\"rampSeconds\":0", "in"));
  }

  private static void print(String name, long[] sorted) {
    List<String> parts = new ArrayList<>(Arrays.asList(name, "events " + sorted.length));
    parts.add("p50_us " + at(sorted, 0.5));
    parts.add("p99_us " + at(sorted, 0.99));
    System.out.println(String.join(" ", parts));
  }

  private static long at(long[] sorted, double share) {
    return sorted[(int) Math.min(sorted.length - 1, sorted.length * share)] / 1_000;
  }
}
