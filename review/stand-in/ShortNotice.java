import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Runners are taken away at short notice while some of their streams have no length.
 *
 * <p>A stream that ends as complete must have all its pieces.
 */
final class ShortNotice {

  private static final int RUNNERS = 7;
  private static final int REMOVALS = 7;
  private static final int NOTICE_MILLIS = 2_000;
  private static final int REPLACEMENT_MILLIS = 4_000;
  private static final int PERIOD_MILLIS = 9_000;
  private static final double UNFRAMED = 0.05;
  private static final int CALLERS = 240;
  private static final int EVENT_MILLIS = 25;
  private static final Pattern RUN =
      Pattern.compile("request (\\S+): run at (\\S+), (\\d+) events, (.*)");

  private ShortNotice() {}

  /** A runner as the platform's list shows it. */
  private static final class Member {
    private final String id;
    private final String address;
    private final int zone;
    private final Process process;
    private volatile long leavesAtNanos;

    Member(String id, String address, int zone, Process process) {
      this.id = id;
      this.address = address;
      this.zone = zone;
      this.process = process;
    }

    String entry() {
      boolean leaving = leavesAtNanos != 0;
      long left = Math.max(0, (leavesAtNanos - System.nanoTime()) / 1_000_000);
      return "{\"service\":\"lm-pool\",\"address\":\""
          + address
          + ":"
          + Runner.PORT
          + "\",\"zone\":\"zone-"
          + zone
          + "\",\"version\":\"v1\",\"slots\":64,\"state\":\""
          + (leaving ? "draining" : "ready")
          + (leaving ? "\",\"time-left-ms\":" + left : "\"")
          + ",\"cold-left-ms\":0,\"id\":\""
          + id
          + "\"}";
    }
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    List<Process> runners = new ArrayList<>();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> runners.forEach(Process::destroyForcibly)));
    try (Record record = new Record(Path.of(args[0], "record.txt"));
        Deployment deployment = new Deployment(record, 3)) {
      result = run(record, deployment, trouble, runners);
    }
    runners.forEach(Process::destroyForcibly);
    System.exit(result);
  }

  private static int run(
      Record record, Deployment deployment, boolean trouble, List<Process> processes)
      throws Exception {
    Map<String, Integer> made = new ConcurrentHashMap<>();
    Map<String, String> framing = new ConcurrentHashMap<>();
    List<Member> members = new CopyOnWriteArrayList<>();
    int next = 1;
    for (; next <= RUNNERS; next++) {
      members.add(start(next, deployment, record, made, framing, processes));
    }
    new PlatformList(
        deployment.platformIp(),
        () -> String.join(",", members.stream().map(Member::entry).toList()));
    deployment.start();
    boolean up =
        deployment.putConfig(
                "{\"version\":3,\"routes\":[{\"name\":\"family-chat\",\"host\":\"orders.example\","
                    + "\"path-prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout-ms\":12000,"
                    + "\"target-latency-ms\":600,\"priority\":1,\"service\":\"lm-pool\","
                    + "\"max-attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false,"
                    + "\"gap-target-ms\":250}],"
                    + "\"services\":[{\"name\":\"lm-pool\",\"health-path\":\"/health\","
                    + "\"max-conns\":390,\"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,"
                    + "\"cold-per-s\":0.0}],\"limits\":{\"max-header-bytes\":16384,"
                    + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                    + "\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"desk\",\"api-keys\":["
                    + "\"key-of-the-order-desk-1\"],\"priority\":1,\"unit\":\"tokens\","
                    + "\"plain-tokens\":200,\"rate-per-s\":0,\"burst\":0}]}",
                20)
            && deployment.awaitReady(20);
    if (!up) {
      System.out.println("the deployment did not get ready");
      return 2;
    }
    AtomicInteger number = new AtomicInteger();
    AtomicInteger complete = new AtomicInteger();
    AtomicInteger broken = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    long end =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos((long) REMOVALS * PERIOD_MILLIS + 2_000);
    List<Thread> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      String host = deployment.ip(i % 3 + 1);
      Thread thread =
          new Thread(
              () -> call(end, host, number, made, framing, record, complete, broken, cut));
      thread.start();
      callers.add(thread);
    }
    Thread.sleep(6_000);
    for (int removal = 0; trouble && removal < REMOVALS; removal++) {
      Member leaving = members.get(0);
      leaving.leavesAtNanos = System.nanoTime() + NOTICE_MILLIS * 1_000_000L;
      record.add("runner %s is draining, %d ms are left", leaving.id, NOTICE_MILLIS);
      Thread.sleep(NOTICE_MILLIS);
      Deployment.signal(leaving.process, "KILL");
      record.add("runner %s is gone", leaving.id);
      members.remove(leaving);
      Thread.sleep(REPLACEMENT_MILLIS);
      members.add(start(next++, deployment, record, made, framing, processes));
      Thread.sleep(PERIOD_MILLIS - NOTICE_MILLIS - REPLACEMENT_MILLIS);
    }
    for (Thread caller : callers) {
      caller.join();
    }
    String summary =
        String.format(
            "%d streams complete, %d broken off, %d that ended as complete lack pieces: ORDER %d",
            complete.get(), cut.get(), broken.get(), broken.get());
    record.add("%s", summary);
    System.out.println(summary);
    if (complete.get() < 500) {
      return 2;
    }
    return broken.get() > 0 ? 1 : 0;
  }

  private static void call(
      long end,
      String host,
      AtomicInteger number,
      Map<String, Integer> made,
      Map<String, String> framing,
      Record record,
      AtomicInteger complete,
      AtomicInteger broken,
      AtomicInteger cut) {
    Caller caller = new Caller(host);
    while (System.nanoTime() - end < 0) {
      String id = "chat-" + number.incrementAndGet();
      record.add("request %s: sent to %s", id, host);
      try {
        Http.Message answer =
            caller.send(id, "/chat/2f", "key-of-the-order-desk-1", 12_000, "bands for " + id);
        if (answer == null || (answer.status() == 200 && !answer.whole())) {
          cut.incrementAndGet();
          record.add("request %s: broken off", id);
        } else if (answer.status() != 200) {
          record.add("request %s: answered %d", id, answer.status());
          Thread.sleep(200);
        } else {
          int pieces = answer.text().split("\n\n").length;
          int all = made.getOrDefault(id, -1);
          if (pieces == all) {
            complete.incrementAndGet();
            record.add("request %s: answered 200, complete, %d pieces", id, pieces);
          } else {
            broken.incrementAndGet();
            record.add(
                "ORDER: request %s: answered 200, ends as complete with %d of %d pieces (%s)",
                id, pieces, all, framing.get(id));
          }
        }
      } catch (IOException e) {
        cut.incrementAndGet();
        record.add("request %s: broken off: %s", id, e.getMessage());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static Member start(
      int number,
      Deployment deployment,
      Record record,
      Map<String, Integer> made,
      Map<String, String> framing,
      List<Process> processes)
      throws IOException {
    String id = "i-" + number;
    String address = deployment.runnerIp(number);
    Process process =
        new ProcessBuilder(
                "java",
                "-Xmx64m",
                "-XX:+UseSerialGC",
                "-cp",
                System.getProperty("java.class.path"),
                "StreamRunner",
                id,
                address,
                String.valueOf(UNFRAMED),
                String.valueOf(EVENT_MILLIS))
            .redirectError(ProcessBuilder.Redirect.INHERIT)
            .start();
    processes.add(process);
    BufferedReader lines =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String first = lines.readLine();
    if (!"listening".equals(first)) {
      throw new IOException("runner " + id + " did not start: " + first);
    }
    record.add("runner %s has started", id);
    Runner.daemon(
        () -> {
          try {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
              Matcher run = RUN.matcher(line);
              if (run.matches()) {
                made.put(run.group(1), Integer.parseInt(run.group(3)));
                framing.put(run.group(1), run.group(4));
              }
              record.add("%s", line);
            }
          } catch (IOException e) {
            record.add("the output of runner %s ended: %s", id, e.getMessage());
          }
        });
    return new Member(id, address, number % 3 + 1, process);
  }
}
