import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Small orders of requesters with kept channels, and what became of them at their route's timeout.
 *
 * <p>Thread safety: any thread may call.
 */
final class Orders {

  private static final int PAUSE_MILLIS = 100;
  private static final int SLACK_MILLIS = 500;

  /** The rule counts from so many requests on. */
  private static final int LEAST_OVERDUE = 8;

  private final Fleet fleet;
  private final int timeoutMillis;
  private final AtomicInteger number = new AtomicInteger();
  private final Map<String, Integer> ends = new TreeMap<>();
  private int atTimeout;
  private int overdue;
  private volatile boolean ended;

  Orders(Fleet fleet, int timeoutMillis) {
    this.fleet = fleet;
    this.timeoutMillis = timeoutMillis;
  }

  /**
   * What became of orders.
   *
   * @param atTimeout orders without an answer at the route's timeout
   * @param overdue those of them without one half a second later
   */
  record Counts(Map<String, Integer> ends, int atTimeout, int overdue) {

    /** Returns true when eight or more, and over a quarter, have no answer half a second later. */
    boolean breaksTimeout() {
      return overdue >= LEAST_OVERDUE && overdue * 4 > atTimeout;
    }
  }

  void begin(int workers) {
    for (int i = 0; i < workers; i++) {
      Runner.daemon("orders", this::work);
    }
  }

  void end() {
    ended = true;
  }

  /** Returns and records the counts since the last report. */
  synchronized Counts report(String when) {
    Counts counts = new Counts(new TreeMap<>(ends), atTimeout, overdue);
    fleet.write(
        "orders "
            + when
            + ": answers "
            + counts.ends()
            + ", without one at the route's timeout "
            + atTimeout
            + ", half a second later "
            + overdue);
    ends.clear();
    atTimeout = 0;
    overdue = 0;
    return counts;
  }

  private void work() {
    while (!ended) {
      try (Http.Channel channel = new Http.Channel(fleet.front(0))) {
        while (!ended && order(channel)) {
          Thread.sleep(PAUSE_MILLIS);
        }
      } catch (IOException e) {
        count("no channel", 0);
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Returns true when the channel may carry the next order. */
  private boolean order(Http.Channel channel) throws IOException {
    String id = "order-" + number.incrementAndGet();
    channel.send(
        Http.head("POST", "/orders/one", id, 10, "X-Deadline-Ms: " + timeoutMillis + "\r\n"),
        new byte[10]);
    long begin = System.nanoTime();
    Http.Answer answer = channel.receive(timeoutMillis + SLACK_MILLIS);
    long millis = (System.nanoTime() - begin) / 1_000_000;
    String end = answer.whole() ? String.valueOf(answer.status()) : "none";
    count(end, millis);
    if (!answer.whole()) {
      fleet.write(id + " has no answer after " + millis + " ms: " + answer.end());
    }
    return answer.whole() && !answer.fields().getOrDefault("connection", "").equals("close");
  }

  private synchronized void count(String end, long millis) {
    ends.merge(end, 1, Integer::sum);
    atTimeout += millis > timeoutMillis ? 1 : 0;
    overdue += millis >= timeoutMillis + SLACK_MILLIS ? 1 : 0;
  }

  private static void pause() {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
