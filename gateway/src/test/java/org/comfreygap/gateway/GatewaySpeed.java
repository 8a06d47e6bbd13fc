package org.comfreygap.gateway;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.comfreygap.decisions.AdapterHomes;
import org.comfreygap.decisions.CustomerCredit;
import org.comfreygap.decisions.EndpointSelector;
import org.comfreygap.decisions.EndpointSelector.EndpointSpec;
import org.comfreygap.decisions.EndpointSelector.Query;
import org.comfreygap.protocol.generated.AttemptFrame;
import org.comfreygap.protocol.generated.FrameBody;
import org.comfreygap.protocol.generated.FrameData;
import org.comfreygap.settings.Priority;
import org.comfreygap.testkit.FakeSidecar;
import org.comfreygap.testkit.FakeSidecar.EndpointResponse;

/**
 * Measures the gateway against its performance targets and prints one {@code name value} per line.
 *
 * <p>Arguments: any of {@code routing}, {@code credit}, {@code requests} (paced at 3,300 per second
 * for 15 s), {@code frames} (decoding of one frame), {@code saturated} (unpaced for 10 s) and
 * {@code streams} (500 concurrent streams). The gateway, the fake sidecars and the load generator
 * share one process. The CPU time of the gateway's own threads is printed next to the latencies,
 * because other load on the machine affects the latencies. The process exits when all measurements
 * are done.
 */
final class GatewaySpeed {

  private static final int ENDPOINTS = 920;
  private static final int ADAPTERS = 12_000;
  private static final int DECISIONS = 2_000_000;
  private static final int WARM_UP = 500_000;

  private GatewaySpeed() {}

  public static void main(String[] args) throws Exception {
    for (String measurement : args) {
      switch (measurement) {
        case "routing" -> routing();
        case "credit" -> credit();
        case "requests" -> requests(3_300, Duration.ofSeconds(15));
        case "frames" -> frames();
        case "streams" -> streams();
        case "saturated" -> requests(0, Duration.ofSeconds(10));
        default -> System.err.println("unknown measurement " + measurement);
      }
    }
    System.exit(0);
  }

  private static void routing() {
    Random random = new Random(1);
    EndpointSelector selector = new EndpointSelector(new AdapterHomes(32_768, 8), 1);
    List<EndpointSpec> sites = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      sites.add(new EndpointSpec("endpoint-" + i, "zone-" + i % 8, "base-" + i % 7, 32));
    }
    selector.fleet(sites);
    Query[] queries = new Query[ADAPTERS];
    for (int i = 0; i < ADAPTERS; i++) {
      long adapter = AdapterHomes.hash("team/adapter-" + i + "@1");
      queries[i] = new Query("base-" + i % 7, adapter, "zone-1", i, List.of());
    }
    long[] resident = new long[32];
    long[] nanos = new long[DECISIONS];
    int[] running = new int[4_096];
    Arrays.fill(running, -1);
    for (int i = 0; i < WARM_UP + DECISIONS; i++) {
      // The cube of a uniform number makes the first adapters popular.
      double u = random.nextDouble();
      Query query = queries[(int) (u * u * u * ADAPTERS)];
      if (i % 8 == 0) {
        int reporting = random.nextInt(ENDPOINTS);
        for (int r = 0; r < resident.length; r++) {
          resident[r] = queries[random.nextInt(ADAPTERS)].adapter();
        }
        selector.reported(
            reporting, "boot", i, random.nextInt(40), 32, resident, System.nanoTime());
      }
      long before = System.nanoTime();
      int chosen = selector.select(query, before);
      long after = System.nanoTime();
      if (i >= WARM_UP) {
        nanos[i - WARM_UP] = after - before;
      }
      int slot = i % running.length;
      if (running[slot] >= 0) {
        selector.finished(running[slot]);
      }
      running[slot] = chosen;
      if (chosen >= 0) {
        selector.dispatched(chosen, before);
      }
    }
    print("routing", nanos, 1_000.0, "us");
  }

  private static void credit() {
    CustomerCredit credit = new CustomerCredit(64);
    long[] nanos = new long[DECISIONS];
    for (int i = 0; i < WARM_UP + DECISIONS; i++) {
      long now = System.nanoTime();
      if (i % 100 == 0) {
        credit.exchange(now);
        credit.granted(300_000, now + 2_000_000_000L, 0, now);
      }
      long before = System.nanoTime();
      CustomerCredit.Ticket ticket = credit.reserve(300, Priority.NORMAL, before);
      long after = System.nanoTime();
      credit.settle(ticket, 200, after);
      if (i >= WARM_UP) {
        nanos[i - WARM_UP] = after - before;
      }
    }
    print("credit_reserve", nanos, 1_000.0, "us");
  }

  private static void frames() throws Exception {
    int frames = 20_000;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] event = "data: {\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n".getBytes();
    for (int i = 0; i < frames; i++) {
      FrameData data = new FrameData((long) i * event.length, ByteBuffer.wrap(event));
      bytes.writeBytes(
          new TSerializer(new TCompactProtocol.Factory())
              .serialize(new AttemptFrame("attempt", FrameBody.data(data))));
    }
    long[] nanos = new long[60];
    for (int round = 0; round < nanos.length; round++) {
      BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
      response.setEntity(new ByteArrayEntity(bytes.toByteArray(), null));
      long before = System.nanoTime();
      try (FrameStream stream = new FrameStream(new HttpPost("/"), response, "attempt", 0)) {
        for (int i = 0; i < frames; i++) {
          stream.next();
        }
      }
      nanos[round] = (System.nanoTime() - before) / frames;
    }
    print("frame_decode", Arrays.copyOfRange(nanos, 20, nanos.length), 1_000.0, "us");
  }

  private static void requests(int rate, Duration time) throws Exception {
    try (GatewayFixture fixture =
        GatewayFixture.start(
            4, 0, settings -> CallerFaultTest.with(settings, 512, Duration.ZERO))) {
      for (FakeSidecar sidecar : fixture.sidecars.values()) {
        sidecar.keepRequests(false);
        sidecar.reportedLimit(256);
        sidecar.responder(request -> EndpointResponse.json(200, "{\"text\":\"ok\"}"));
      }
      fixture.limits("press", 1_000_000_000, 1_000_000_000);
      String name = rate > 0 ? "requests_paced" : "requests_saturated";
      run(fixture, rate, Duration.ofSeconds(5), "warm_up");
      run(fixture, rate, time, name);
    }
  }

  /** Measures the latency of each event from the sidecar's write to the caller's read. */
  private static void streams() throws Exception {
    int streams = 500;
    int events = 200;
    try (GatewayFixture fixture =
        GatewayFixture.start(4, 0, s -> CallerFaultTest.with(s, 600, Duration.ZERO))) {
      for (FakeSidecar sidecar : fixture.sidecars.values()) {
        sidecar.keepRequests(false);
        sidecar.reportedLimit(256);
        sidecar.responder(
            request ->
                new EndpointResponse(
                    200,
                    Map.of("Content-Type", "text/event-stream"),
                    new StampedEvents(events),
                    50,
                    1));
      }
      for (String name : List.of("streams_warm_up", "streams")) {
        long[][] nanos = new long[streams][];
        List<Thread> threads = new ArrayList<>();
        long cpu = gatewayCpuNanos();
        for (int i = 0; i < streams; i++) {
          int number = i;
          Thread thread = new Thread(() -> nanos[number] = readStream(fixture, events));
          threads.add(thread);
          thread.start();
        }
        for (Thread thread : threads) {
          thread.join();
        }
        long[] all = Arrays.stream(nanos).flatMapToLong(Arrays::stream).toArray();
        System.out.printf("%s_events %d%n", name, all.length);
        System.out.printf(
            "%s_gateway_cpu_us_per_event %.1f%n",
            name, (gatewayCpuNanos() - cpu) / 1e3 / all.length);
        print(name + "_hop", all, 1_000_000.0, "ms");
      }
    }
  }

  private static long[] readStream(GatewayFixture fixture, int events) {
    long[] nanos = new long[events];
    int count = 0;
    try (Socket socket = new Socket("127.0.0.1", fixture.settings.httpAddress().getPort())) {
      socket.getOutputStream().write(CallerFaultTest.http(GatewayFixture.streamRequest("")));
      BufferedReader lines =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String line = lines.readLine();
      while (line != null && count < events) {
        if (line.startsWith("data: ")) {
          nanos[count++] = System.nanoTime() - Long.parseLong(line.substring(6));
        }
        line = lines.readLine();
      }
    } catch (IOException e) {
      System.err.println("a stream failed: " + e);
    }
    return Arrays.copyOf(nanos, count);
  }

  /**
   * Returns the total CPU time of the threads that serve requests; none of them ends during a run.
   */
  private static long gatewayCpuNanos() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long sum = 0;
    for (long id : threads.getAllThreadIds()) {
      ThreadInfo info = threads.getThreadInfo(id);
      if (info != null && info.getThreadName().startsWith("dw-")) {
        sum += Math.max(0, threads.getThreadCpuTime(id));
      }
    }
    return sum;
  }

  private static void run(GatewayFixture fixture, int rate, Duration time, String name)
      throws Exception {
    int connections = 48;
    long[][] nanos = new long[connections][];
    AtomicInteger failed = new AtomicInteger();
    List<Thread> threads = new ArrayList<>();
    long cpu = gatewayCpuNanos();
    long start = System.nanoTime();
    for (int i = 0; i < connections; i++) {
      int number = i;
      Thread thread =
          new Thread(() -> nanos[number] = load(fixture, rate, time, connections, number, failed));
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    long[] all = Arrays.stream(nanos).flatMapToLong(Arrays::stream).toArray();
    System.out.printf("%s_per_second %.0f%n", name, all.length / seconds);
    System.out.printf("%s_failed %d%n", name, failed.get());
    System.out.printf(
        "%s_gateway_cpu_us_per_request %.1f%n", name, (gatewayCpuNanos() - cpu) / 1e3 / all.length);
    print(name, all, 1_000_000.0, "ms");
  }

  private static long[] load(
      GatewayFixture fixture,
      int rate,
      Duration time,
      int connections,
      int number,
      AtomicInteger failed) {
    byte[] request = CallerFaultTest.http(GatewayFixture.CHAT);
    long[] nanos = new long[200_000];
    int count = 0;
    long interval = rate > 0 ? 1_000_000_000L * connections / rate : 0;
    long start = System.nanoTime();
    long due = start + interval * number / connections;
    try (Socket socket = new Socket("127.0.0.1", fixture.settings.httpAddress().getPort())) {
      socket.setTcpNoDelay(true);
      byte[] buffer = new byte[4_096];
      while (due - start < time.toNanos() && count < nanos.length) {
        long left = due - System.nanoTime();
        if (left > 0) {
          Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
        }
        socket.getOutputStream().write(request);
        if (!ok(socket.getInputStream(), buffer)) {
          failed.incrementAndGet();
        }
        long now = System.nanoTime();
        // Latency is measured from the scheduled time, so that stalls are not hidden.
        nanos[count++] = now - due;
        due = rate > 0 ? due + interval : now;
      }
    } catch (Exception e) {
      failed.incrementAndGet();
      System.err.println("a connection failed: " + e);
    }
    return Arrays.copyOf(nanos, count);
  }

  private static boolean ok(InputStream in, byte[] buffer) throws Exception {
    int length = 0;
    while (true) {
      int count = in.read(buffer, length, buffer.length - length);
      if (count < 0) {
        throw new java.io.EOFException();
      }
      length += count;
      String text = new String(buffer, 0, length, StandardCharsets.ISO_8859_1);
      if (text.endsWith("}")) {
        return text.startsWith("HTTP/1.1 200");
      }
    }
  }

  private static void print(String name, long[] nanos, double unit, String suffix) {
    Arrays.sort(nanos);
    for (double share : new double[] {0.5, 0.99, 0.999}) {
      long value = nanos[(int) Math.min(nanos.length - 1, share * nanos.length)];
      System.out.printf("%s_p%s_%s %.3f%n", name, share * 100, suffix, value / unit);
    }
  }

  /** Events of equal length that carry the time at which they are taken from the list. */
  private static final class StampedEvents extends AbstractList<byte[]> {

    private final int size;

    StampedEvents(int size) {
      this.size = size;
    }

    @Override
    public byte[] get(int index) {
      return String.format("data: %020d%n%n", System.nanoTime())
          .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public int size() {
      return size;
    }
  }
}
