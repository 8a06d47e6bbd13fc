import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Keys are taken away by configurations that drop one tenant after the other.
 *
 * <p>Requests with a key that was taken away must not run.
 */
final class LastTenant {

  private static final String FIRST = "key-of-the-parlours-0001";
  private static final String SECOND = "key-of-the-order-desk-01";
  private static final String OTHER = "key-of-the-order-desk-02";
  private static final int REVOKE_MILLIS = 5_000;
  private static final int REQUESTS = 30;

  private LastTenant() {}

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
    Runner runner =
        new Runner("i-1", deployment.runnerIp(1), "order-app", 6, 24, record, runs) {
          @Override
          boolean serve(Http.Message request, String requestId, OutputStream out)
              throws IOException {
            recordRun(requestId);
            record.add("request %s: X-Tenant is \"%s\"", requestId, request.header("x-tenant"));
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
    String parlours = Deployment.tenant("parlours", FIRST);
    String desk = Deployment.tenant("desk", SECOND);
    if (!deployment.putConfig(Deployment.orderConfig(3, parlours + "," + desk), 20)
        || !deployment.awaitReady(20)) {
      System.out.println("the deployment did not get ready");
      return 2;
    }
    int served = send("before", FIRST, deployment, record, runs);
    served += send("before", SECOND, deployment, record, runs);
    if (served < 2 * REQUESTS) {
      System.out.println("only " + served + " requests ran before the change");
      return 2;
    }
    if (!deployment.putConfig(Deployment.orderConfig(5, desk), 10)) {
      return 2;
    }
    Thread.sleep(REVOKE_MILLIS + 1_000);
    int dropped = send("after-version-5", FIRST, deployment, record, runs);
    String last = trouble ? "" : Deployment.tenant("desk", OTHER);
    if (!deployment.putConfig(Deployment.orderConfig(9, last), 10)) {
      return 2;
    }
    Thread.sleep(REVOKE_MILLIS + 1_000);
    dropped += send("after-version-9", FIRST, deployment, record, runs);
    dropped += send("after-version-9", SECOND, deployment, record, runs);
    String summary =
        String.format(
            "CONFIG: %d of %d requests ran with a key that was taken away over %d ms before",
            dropped, 3 * REQUESTS, REVOKE_MILLIS);
    record.add("%s", summary);
    System.out.println(summary);
    return dropped > 0 ? 1 : 0;
  }

  /** Sends requests to all machines and returns how many of them ran. */
  private static int send(
      String when,
      String key,
      Deployment deployment,
      Record record,
      Map<String, AtomicInteger> runs)
      throws InterruptedException {
    int ran = 0;
    for (int i = 0; i < REQUESTS; i++) {
      String id = when + "-" + key + "-" + i;
      String host = deployment.ip(i % 3 + 1);
      String answer;
      try (Caller caller = new Caller(host)) {
        Http.Message message = caller.send(id, "/orders/2f", key, 1_000, "bands");
        answer = message == null ? "closed" : String.valueOf(message.status());
      } catch (IOException e) {
        answer = "closed: " + e.getMessage();
      }
      ran += runs.containsKey(id) ? 1 : 0;
      record.add("request %s: sent to %s, answered %s", id, host, answer);
      Thread.sleep(20);
    }
    return ran;
  }
}
