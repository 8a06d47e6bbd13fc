import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three times, the operator gives a tenant's key to a tenant of another name while more orders come
 * than the runners take at once.
 */
final class RenamedTenant {

  private static final int ROUTE_TIMEOUT_MILLIS = 3_000;
  private static final int SLACK_MILLIS = 500;
  private static final int LEAST_OVERDUE = 8;
  private static final int WORK_MILLIS = 1_000;
  private static final int ROUNDS = 3;
  private static final int ORDERS = 80;
  private static final int CHANGE_AFTER_MILLIS = 200;
  private static final String KEY = "i9n73hh2b9wu3fexd9dn";

  private RenamedTenant() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, RenamedTenant::run);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    Runner.Behaviour sound =
        (runner, head, body, out) -> {
          Thread.sleep(WORK_MILLIS);
          Runner.respond(out, head, 200, "", "done for " + head.field("x-tenant"));
        };
    for (int i = 0; i < 3; i++) {
      Runner one = new Runner("i-" + (i + 1), "127.0.33." + (11 + i), fleet.appPort(), sound);
      fleet.listed.add(one.entry("order-app", Fleet.zone(i), "v1", 6, "ready"));
    }
    fleet.start(3, 1);
    fleet.configure(configuration(1, "hule930"));
    fleet.awaitReady();
    Thread.sleep(3_000);
    Map<String, Integer> ends = new TreeMap<>();
    AtomicInteger unanswered = new AtomicInteger();
    AtomicInteger overdue = new AtomicInteger();
    for (int round = 1; round <= ROUNDS; round++) {
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < ORDERS; i++) {
        String id = "order-" + round + "-" + (i + 1);
        threads.add(Runner.daemon(id, () -> order(fleet, id, ends, unanswered, overdue)));
      }
      Thread.sleep(CHANGE_AFTER_MILLIS);
      if (trouble) {
        fleet.configure(configuration(1 + round, "hule93" + round));
      }
      for (Thread one : threads) {
        one.join(ROUTE_TIMEOUT_MILLIS + 2_000);
      }
      Thread.sleep(1_000);
    }
    fleet.write("orders ended " + ends);
    fleet.write(
        unanswered
            + " had no answer at the route's timeout, "
            + overdue
            + " of them none half a second later");
    return overdue.get() >= LEAST_OVERDUE && overdue.get() * 4 > unanswered.get()
        ? Case.BROKEN
        : Case.HELD;
  }

  private static String configuration(int version, String tenant) {
    String route =
        Config.route(
            "place-order",
            "/orders/",
            "unsafe",
            "order-app",
            ",\"timeout-ms\":" + ROUTE_TIMEOUT_MILLIS + ",\"max-attempts\":1");
    route = route.replace("\"target-latency-ms\":400", "\"target-latency-ms\":1000");
    String text = Config.of(version, route, Config.service("order-app"));
    return text.substring(0, text.length() - 1)
        + ",\"tenants\":[{\"name\":\""
        + tenant
        + "\",\"api-keys\":[\""
        + KEY
        + "\"],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,\"rate-per-s\":270000,"
        + "\"burst\":270000}]}";
  }

  private static void order(
      Fleet fleet,
      String id,
      Map<String, Integer> ends,
      AtomicInteger unanswered,
      AtomicInteger overdue) {
    String more = "X-Deadline-Ms: " + ROUTE_TIMEOUT_MILLIS + "\r\nApi-Key: " + KEY + "\r\n";
    String end;
    try (Http.Channel channel = new Http.Channel(fleet.front(0))) {
      channel.send(Http.head("POST", "/orders/one", id, 2, more), new byte[2]);
      long begin = System.nanoTime();
      Http.Answer answer = channel.receive(ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS);
      long millis = (System.nanoTime() - begin) / 1_000_000;
      end = answer.whole() ? String.valueOf(answer.status()) : "no answer";
      unanswered.addAndGet(millis > ROUTE_TIMEOUT_MILLIS ? 1 : 0);
      if (!answer.whole()) {
        overdue.addAndGet(millis >= ROUTE_TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0);
        fleet.write(id + " has no answer after " + millis + " ms: " + answer.end());
      }
    } catch (IOException e) {
      end = e.toString();
    }
    synchronized (ends) {
      ends.merge(end, 1, Integer::sum);
    }
  }
}
