import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests whose body holds the text of another request, with a transfer coding that does not tell
 * where the body ends.
 */
final class Smuggled {

  private static final String KEY = "key-of-the-order-desk-1";
  private static final int ROUNDS = 10;
  private static final List<String> CODINGS = List.of("identity", "gzip", "xchunked");

  private Smuggled() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(record, 3)) {
      result = run(record, deployment, trouble);
    }
    System.exit(result);
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    Map<String, String> bodies = new ConcurrentHashMap<>();
    Runner runner =
        new Runner("i-1", deployment.runnerIp(1), "order-app", 6, 24, record, runs) {
          @Override
          boolean serve(Http.Message request, String requestId, OutputStream out)
              throws IOException {
            recordRun(requestId);
            bodies.put(requestId, request.text());
            byte[] body = ("done " + requestId).getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream answer = new ByteArrayOutputStream();
            String extra = "X-Response-Stamp: s." + requestId + "\r\n";
            answer.write(head("200 OK", requestId, extra, body.length));
            answer.write(body);
            out.write(answer.toByteArray());
            return true;
          }
        };
    new PlatformList(deployment.platformIp(), () -> runner.entry("zone-1"));
    deployment.start();
    if (!deployment.putConfig(Deployment.orderConfig(KEY), 20) || !deployment.awaitReady(20)) {
      System.out.println("the deployment did not get ready");
      return 2;
    }
    int smuggled = 0;
    int changed = 0;
    int sent = 0;
    for (int round = 1; round <= ROUNDS; round++) {
      for (String coding : CODINGS) {
        String id = "outer-" + coding + "-" + round;
        String inner = "inner-" + coding + "-" + round;
        String body =
            "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: "
                + inner
                + "\r\nApi-Key: "
                + KEY
                + "\r\nContent-Length: 0\r\n\r\n";
        String framing =
            trouble ? "Transfer-Encoding: " + coding : "Content-Length: " + body.length();
        String answer = send(deployment.ip(round % 3 + 1), id, framing, body);
        sent++;
        record.add("request %s: sent with %s, answered %s", id, framing, answer);
        Thread.sleep(100);
        if (runs.containsKey(inner)) {
          smuggled++;
          record.add("UNASKED: request %s ran; it is the body of request %s", inner, id);
        }
        if (bodies.containsKey(id) && !bodies.get(id).equals(body)) {
          changed++;
          record.add(
              "UNASKED: request %s ran with a body of %d bytes instead of %d",
              id, bodies.get(id).length(), body.length());
        }
      }
    }
    String summary =
        String.format(
            "%d requests sent; UNASKED: %d smuggled requests ran, %d ran with another body",
            sent, smuggled, changed);
    record.add("%s", summary);
    System.out.println(summary);
    return smuggled + changed > 0 ? 1 : 0;
  }

  private static String send(String host, String id, String framing, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, Deployment.FRONT), 1_000);
      socket.setSoTimeout(2_000);
      String request =
          "POST /orders/2f HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: "
              + id
              + "\r\nX-Deadline-Ms: 1000\r\nApi-Key: "
              + KEY
              + "\r\n"
              + framing
              + "\r\n\r\n"
              + body;
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      Http.Message answer = Http.readResponse(new BufferedInputStream(socket.getInputStream()));
      return answer == null ? "closed" : answer.status() + " " + answer.text().strip();
    } catch (IOException e) {
      return "closed: " + e.getMessage();
    }
  }
}
