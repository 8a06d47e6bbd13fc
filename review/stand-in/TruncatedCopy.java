import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 1: faulty runners send the beginning of a second copy of an answer after a complete answer.
 *
 * <p>Orders must not be repeated. Five runners shed what is beyond their slots and queue.
 */
final class TruncatedCopy {

  private static final int RUNNERS = 5;
  private static final int FAULTY = 3;
  private static final double SPOILT = 0.03;
  private static final int FAULT_SECONDS = 5;
  private static final int PAUSE_SECONDS = 3;
  private static final int ROUNDS = 9;
  private static final int CALLERS = 60;
  private static final String KEY = "key-of-the-order-desk-1";

  private static volatile boolean faulty;

  private TruncatedCopy() {}

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
    Map<String, String> answers = new ConcurrentHashMap<>();
    List<OrderRunner> runners = new ArrayList<>();
    for (int i = 1; i <= RUNNERS; i++) {
      runners.add(new OrderRunner("i-" + i, deployment.runnerIp(i), record, runs, i <= FAULTY));
    }
    new PlatformList(
        deployment.platformIp(),
        () -> {
          List<String> entries = new ArrayList<>();
          for (int i = 0; i < RUNNERS; i++) {
            entries.add(runners.get(i).entry("zone-" + (i % 3 + 1)));
          }
          return String.join(",", entries);
        });
    deployment.start();
    boolean up =
        deployment.putConfig(Deployment.orderConfig(KEY), 20)
            && deployment.awaitReady(20);
    if (!up) {
      System.out.println("the deployment did not get ready");
      return 2;
    }
    AtomicInteger next = new AtomicInteger();
    long end = System.nanoTime() + (long) (ROUNDS * (PAUSE_SECONDS + FAULT_SECONDS)) * 1_000_000_000L;
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int machine = i % 3 + 1;
      Thread thread =
          new Thread(() -> callUntil(end, deployment.ip(machine), next, answers, record));
      thread.start();
      callers.add(thread);
    }
    for (int round = 0; round < ROUNDS; round++) {
      Thread.sleep(PAUSE_SECONDS * 1_000L);
      faulty = trouble;
      record.add("faulty runners begin to spoil answers: %s", faulty);
      Thread.sleep(FAULT_SECONDS * 1_000L);
      faulty = false;
    }
    for (Thread caller : callers) {
      caller.join();
    }
    return judge(record, runs, answers, runners);
  }

  private static void callUntil(
      long end, String host, AtomicInteger next, Map<String, String> answers, Record record) {
    Caller caller = new Caller(host);
    while (System.nanoTime() - end < 0) {
      String id = "order-" + next.incrementAndGet();
      record.add("request %s: sent to %s", id, host);
      String answer;
      try {
        Http.Message message = caller.send(id, "/orders/2f", KEY, 2_000, "bands for " + id);
        answer = message == null ? "closed" : message.status() + " " + message.text().strip();
      } catch (IOException e) {
        answer = "closed: " + e.getMessage();
      }
      answers.put(id, answer);
      record.add("request %s: answered %s", id, answer);
      try {
        Thread.sleep(answer.startsWith("503") ? 5 : 1);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static int judge(
      Record record,
      Map<String, AtomicInteger> runs,
      Map<String, String> answers,
      List<OrderRunner> runners) {
    int twice = 0;
    int refused = 0;
    int mixed = 0;
    int served = 0;
    for (Map.Entry<String, String> answer : answers.entrySet()) {
      String id = answer.getKey();
      int count = runs.containsKey(id) ? runs.get(id).get() : 0;
      boolean promise = answer.getValue().startsWith("503") || answer.getValue().startsWith("429");
      if (answer.getValue().startsWith("200")) {
        served++;
        if (!answer.getValue().equals("200 done " + id)) {
          mixed++;
          record.add("MIXED: request %s, answered %s", id, answer.getValue());
        }
      }
      if (count > 1) {
        twice++;
        record.add("TWICE: request %s ran %d times, answered %s", id, count, answer.getValue());
      }
      if (promise && count > 0) {
        refused++;
        record.add("REFUSED: request %s ran and is answered %s", id, answer.getValue());
      }
    }
    int shed = runners.stream().mapToInt(runner -> runner.shed.get()).sum();
    int spoilt = runners.stream().mapToInt(runner -> runner.spoilt.get()).sum();
    String summary =
        String.format(
            "%d orders, %d served, %d refusals of runners, %d answers spoilt;"
                + " TWICE %d, REFUSED %d, MIXED %d",
            answers.size(), served, shed, spoilt, twice, refused, mixed);
    record.add("%s", summary);
    System.out.println(summary);
    if (served < 500) {
      return 2;
    }
    return twice + refused + mixed > 0 ? 1 : 0;
  }

  /** Runs orders; a faulty one adds the beginning of a second copy to some of its answers. */
  private static final class OrderRunner extends Runner {

    private final AtomicInteger shed = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final boolean spoils;
    private final Random random = new Random();
    private final Semaphore running = new Semaphore(2);

    OrderRunner(
        String id, String ip, Record record, Map<String, AtomicInteger> runs, boolean spoils)
        throws IOException {
      super(id, ip, "order-app", 2, 2, record, runs);
      this.spoils = spoils;
    }

    @Override
    boolean serve(Http.Message request, String requestId, OutputStream out)
        throws IOException, InterruptedException {
      if (present.incrementAndGet() > slots + queue) {
        present.decrementAndGet();
        shed.incrementAndGet();
        record.add("request %s: refused by %s, not run", requestId, id);
        write(head("503 Service Unavailable", requestId, "X-Not-Executed: 1\r\n", 0), out);
        return true;
      }
      running.acquire();
      try {
        recordRun(requestId);
        Thread.sleep(15 + random.nextInt(13));
      } finally {
        running.release();
        present.decrementAndGet();
      }
      byte[] body = ("done " + requestId).getBytes(StandardCharsets.UTF_8);
      ByteArrayOutputStream answer = new ByteArrayOutputStream();
      String extra = "X-Response-Stamp: s." + requestId + "\r\n";
      answer.write(head("200 OK", requestId, extra, body.length));
      answer.write(body);
      write(answer.toByteArray(), out);
      return true;
    }

    private void write(byte[] answer, OutputStream out) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      bytes.write(answer);
      boolean spoil;
      int length;
      synchronized (random) {
        spoil = faulty && spoils && random.nextDouble() < SPOILT;
        length = 1 + random.nextInt(answer.length - 1);
      }
      if (spoil) {
        spoilt.incrementAndGet();
        bytes.write(answer, 0, length);
        record.add("%s adds the first %d bytes of a second copy of its answer", id, length);
      }
      out.write(bytes.toByteArray());
      out.flush();
    }
  }
}
