import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One answer of a runner goes on without end: its body holds empty lines, each in a chunk of its
 * own, until the caller closes. Orders of another service run beside it.
 */
final class Endless {

  private static final int STREAMS = 40;

  /** The stream whose answer has no end. */
  private static final int FAULTY = 20;

  private static final int ORDER_TIMEOUT_MILLIS = 1_000;
  private static final int STREAM_TIMEOUT_MILLIS = 12_000;
  private static final int WORKERS = 12;
  private static final int OBSERVED_MILLIS = 20_000;
  private static final String CHUNK = "1\r\n\n\r\n";

  private Endless() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, Endless::run);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    AtomicInteger streams = new AtomicInteger();
    Runner.Behaviour orders =
        (runner, head, body, out) -> {
          Thread.sleep(20);
          Runner.respond(out, head, 200, "", "done");
        };
    Runner.Behaviour soundStream = Streams.running("v1", 20, 100, new ConcurrentHashMap<>());
    Runner.Behaviour engine =
        (runner, head, body, out) -> {
          if (streams.incrementAndGet() == FAULTY && trouble) {
            flood(fleet, runner, head, out);
          } else {
            soundStream.answer(runner, head, body, out);
          }
        };
    for (int i = 0; i < 3; i++) {
      Runner one = new Runner("i-" + (i + 1), "127.0.33." + (11 + i), fleet.appPort(), orders);
      fleet.listed.add(one.entry("order-app", Fleet.zone(i), "v1", 64, "ready"));
      Runner other = new Runner("j-" + (i + 1), "127.0.33." + (21 + i), fleet.appPort(), engine);
      fleet.listed.add(other.entry("lm-pool", Fleet.zone(i), "v1", 64, "ready"));
    }
    fleet.start(3, 1);
    String placeOrder =
        Config.route(
            "place-order",
            "/orders/",
            "unsafe",
            "order-app",
            ",\"timeout-ms\":" + ORDER_TIMEOUT_MILLIS + ",\"max-attempts\":1");
    String chat =
        Config.route(
            "chat",
            "/chat/",
            "stream",
            "lm-pool",
            ",\"timeout-ms\":"
                + STREAM_TIMEOUT_MILLIS
                + ",\"max-attempts\":1,\"gap-target-ms\":250");
    String services = Config.service("order-app") + "," + Config.service("lm-pool");
    fleet.configure(Config.of(1, placeOrder + "," + chat, services));
    fleet.awaitReady();
    Orders load = new Orders(fleet, ORDER_TIMEOUT_MILLIS);
    load.begin(WORKERS);
    Thread.sleep(5_000);
    load.report("before the streams");
    Map<String, String> ends = new ConcurrentHashMap<>();
    for (int i = 0; i < STREAMS; i++) {
      String id = "stream-" + (i + 1);
      Runner.daemon(id, () -> ends.put(id, read(fleet, id)));
      Thread.sleep(50);
    }
    Thread.sleep(OBSERVED_MILLIS);
    fleet.write("streams ended " + ends);
    Orders.Counts counts = load.report("during and after the streams");
    load.end();
    fleet.write("the gateway runs: " + fleet.gateways.get(0).alive() + ", ready: " + fleet.ready(0));
    return counts.breaksTimeout() ? Case.BROKEN : Case.HELD;
  }

  private static void flood(Fleet fleet, Runner runner, Http.Head head, OutputStream out)
      throws IOException {
    String id = head.field("x-request-id");
    fleet.write("the answer of " + runner.id + " to " + id + " has no end");
    Streams.begin(head, out);
    byte[] bytes = CHUNK.repeat(1_000).getBytes(StandardCharsets.US_ASCII);
    long written = 0;
    try {
      while (true) {
        out.write(bytes);
        written += bytes.length;
      }
    } finally {
      fleet.write("the caller closed the channel of " + id + " after " + written + " bytes");
    }
  }

  /** Reads a stream to its end, and returns how it ended. */
  private static String read(Fleet fleet, String id) {
    String head =
        Http.head("POST", "/chat/1", id, 0, "X-Deadline-Ms: " + STREAM_TIMEOUT_MILLIS + "\r\n");
    try (Socket socket = new Socket()) {
      socket.connect(fleet.front(0), 1_000);
      socket.setSoTimeout(STREAM_TIMEOUT_MILLIS + 1_000);
      socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
      InputStream in = socket.getInputStream();
      byte[] part = new byte[64 * 1024];
      long total = 0;
      String end = "";
      int read = in.read(part);
      while (read >= 0) {
        total += read;
        end = new String(part, Math.max(0, read - 5), Math.min(5, read), StandardCharsets.US_ASCII);
        if (end.equals("0\r\n\r\n")) {
          return "complete after " + total + " bytes";
        }
        read = in.read(part);
      }
      return "closed after " + total + " bytes";
    } catch (IOException e) {
      return e.toString();
    }
  }
}
