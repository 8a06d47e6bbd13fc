import java.io.IOException;
import java.util.HashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One part of prompts crashes each runner that begins to write an answer on it: the runner writes
 * the first event and ends. Requests with that part come again and again, no two alike.
 */
final class FatalPart {

  private static final int RUNNERS = 6;
  private static final int REQUESTS = 30;
  private static final int REQUEST_PAUSE_MILLIS = 1_000;

  /** Requesters of sound streams of three seconds each: 20 a second together. */
  private static final int READERS = 60;

  private static final int BACK_AFTER_MILLIS = 2_000;
  private static final int CONTACT_MILLIS = 3_000;
  private static final int CRASHES = 5;
  private static final int MOST_LATER = 3;
  private static final String PART = "dead01";

  private FatalPart() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, FatalPart::run);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    AtomicInteger crashes = new AtomicInteger();
    AtomicLong fifthNanos = new AtomicLong();
    AtomicInteger later = new AtomicInteger();
    AtomicInteger unserved = new AtomicInteger();
    Runner.Behaviour behaviour =
        (runner, head, body, out) -> {
          boolean fatal = head.field("x-prompt-prefix").contains(PART);
          if (!fatal) {
            Streams.running("v1", 30, 100, new HashMap<>())
                .answer(runner, head, body, out);
            return;
          }
          long fifth = fifthNanos.get();
          if (fifth != 0 && System.nanoTime() - fifth > CONTACT_MILLIS * 1_000_000L) {
            later.incrementAndGet();
          }
          fleet.write(head.field("x-request-id") + " reaches " + runner.id);
          Streams.begin(head, out);
          Streams.chunk(out, Streams.event(1, "v1 " + runner.id));
          Thread.sleep(50);
          runner.crash();
          int count = crashes.incrementAndGet();
          fleet.write(runner.id + " crashes, crash " + count);
          if (count == CRASHES) {
            fifthNanos.set(System.nanoTime());
          }
          Runner.daemon("back", () -> back(runner));
        };
    for (int i = 0; i < RUNNERS; i++) {
      Runner one = new Runner("i-" + (i + 1), "127.0.33." + (11 + i), fleet.appPort(), behaviour);
      fleet.listed.add(one.entry("lm-pool", Fleet.zone(0), "v1", 64, "ready"));
    }
    fleet.start(3, 2);
    String chat =
        Config.route(
            "chat",
            "/chat/",
            "stream",
            "lm-pool",
            ",\"timeout-ms\":12000,\"max-attempts\":1,\"resumable\":false,\"gap-target-ms\":250");
    fleet.configure(Config.of(1, chat, Config.service("lm-pool")));
    fleet.awaitReady();
    boolean[] ended = new boolean[1];
    AtomicInteger served = new AtomicInteger();
    for (int i = 0; i < READERS; i++) {
      int worker = i;
      Runner.daemon("streams", () -> streams(fleet, worker, ended, served, unserved));
    }
    Thread.sleep(5_000);
    fleet.write("sound streams so far: " + served + " served whole, " + unserved + " not");
    for (int i = 0; i < REQUESTS && trouble; i++) {
      int number = i;
      Runner.daemon("fatal", () -> fatal(fleet, number));
      Thread.sleep(REQUEST_PAUSE_MILLIS);
    }
    Thread.sleep(3_000);
    ended[0] = true;
    fleet.write("sound streams: " + served + " served whole, " + unserved + " not");
    fleet.write(
        crashes
            + " crashes; "
            + later
            + " requests with the part reached runners later than "
            + CONTACT_MILLIS
            + " ms after the fifth, "
            + MOST_LATER
            + " may");
    return later.get() > MOST_LATER ? Case.BROKEN : Case.HELD;
  }

  private static void back(Runner runner) {
    try {
      Thread.sleep(BACK_AFTER_MILLIS);
      runner.listen();
    } catch (Exception e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void fatal(Fleet fleet, int number) {
    String id = "fatal-" + number;
    String more =
        "X-Deadline-Ms: 12000\r\nX-Prompt-Prefix: " + PART + ":210,e" + number + ":900\r\n";
    try (Http.Channel channel = new Http.Channel(fleet.front(number % 2))) {
      channel.send(Http.head("POST", "/chat/" + number, id, 2, more), new byte[2]);
      Http.Answer answer = channel.receive(13_000);
      fleet.write(id + " got " + answer.status() + " " + answer.end());
    } catch (IOException e) {
      fleet.write(id + " got " + e);
    }
  }

  private static void streams(
      Fleet fleet, int worker, boolean[] ended, AtomicInteger served, AtomicInteger unserved) {
    int number = 0;
    while (!ended[0]) {
      String id = "sound-" + worker + "-" + number++;
      String prompt = "a0" + worker % 3 + ":210,b" + worker + "f" + number + ":900";
      String more = "X-Deadline-Ms: 12000\r\nX-Prompt-Prefix: " + prompt + "\r\n";
      try (Http.Channel channel = new Http.Channel(fleet.front(worker % 2))) {
        channel.send(Http.head("POST", "/chat/s" + worker, id, 2, more), new byte[2]);
        Http.Answer answer = channel.receive(13_000);
        (answer.whole() && answer.status() == 200 ? served : unserved).incrementAndGet();
        Thread.sleep(200);
      } catch (IOException e) {
        unserved.incrementAndGet();
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
