import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Some requesters at once send bodies of the largest allowed size in small chunks, beside small
 * orders; without the disruption the same bodies come with a length.
 */
final class SmallChunks {

  private static final int BODY_BYTES = 4_000_000;
  private static final int CHUNK_BYTES = 100;
  private static final int UPLOADS = 16;
  private static final int ROUTE_TIMEOUT_MILLIS = 1_000;
  private static final int WORKERS = 12;
  private static final int OBSERVED_MILLIS = 20_000;

  private SmallChunks() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, SmallChunks::run);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    Runner.Behaviour sound =
        (runner, head, body, out) -> {
          Thread.sleep(20);
          Runner.respond(out, head, 200, "", "done " + body.length);
        };
    for (int i = 0; i < 3; i++) {
      Runner one = new Runner("i-" + (i + 1), "127.0.33." + (11 + i), fleet.appPort(), sound);
      fleet.listed.add(one.entry("order-app", Fleet.zone(i), "v1", 64, "ready"));
    }
    fleet.start(3, 1);
    String orders =
        Config.route(
            "place-order",
            "/orders/",
            "unsafe",
            "order-app",
            ",\"timeout-ms\":" + ROUTE_TIMEOUT_MILLIS + ",\"max-attempts\":1");
    String files =
        Config.route(
            "files", "/files/", "safe", "order-app", ",\"timeout-ms\":30000,\"max-attempts\":1");
    fleet.configure(Config.of(1, orders + "," + files, Config.service("order-app")));
    fleet.awaitReady();
    Orders load = new Orders(fleet, ROUTE_TIMEOUT_MILLIS);
    load.begin(WORKERS);
    Thread.sleep(5_000);
    load.report("before the uploads");
    byte[] upload = trouble ? chunked() : new byte[BODY_BYTES];
    Map<String, Integer> ends = new ConcurrentHashMap<>();
    for (int i = 0; i < UPLOADS; i++) {
      int number = i;
      Runner.daemon("upload", () -> upload(fleet, number, upload, trouble, ends));
    }
    Thread.sleep(OBSERVED_MILLIS);
    fleet.write("uploads ended " + ends);
    Orders.Counts counts = load.report("during and after the uploads");
    load.end();
    fleet.write("the gateway runs: " + fleet.gateways.get(0).alive() + ", ready: " + fleet.ready(0));
    return counts.breaksTimeout() ? Case.BROKEN : Case.HELD;
  }

  private static byte[] chunked() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    byte[] chunk =
        (Integer.toHexString(CHUNK_BYTES) + "\r\n" + "x".repeat(CHUNK_BYTES) + "\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    for (int sent = 0; sent < BODY_BYTES; sent += CHUNK_BYTES) {
      bytes.write(chunk);
    }
    bytes.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    return bytes.toByteArray();
  }

  private static void upload(
      Fleet fleet, int number, byte[] bytes, boolean chunked, Map<String, Integer> ends) {
    String id = "upload-" + number;
    String head = Http.head("POST", "/files/1", id, BODY_BYTES, "X-Deadline-Ms: 30000\r\n");
    if (chunked) {
      head = head.replace("Content-Length: " + BODY_BYTES, "Transfer-Encoding: chunked");
    }
    try (Http.Channel channel = new Http.Channel(fleet.front(0))) {
      channel.send(head, bytes);
      Http.Answer answer = channel.receive(31_000);
      ends.merge(answer.status() + " " + answer.end(), 1, Integer::sum);
    } catch (IOException e) {
      ends.merge(e.toString(), 1, Integer::sum);
    }
  }
}
