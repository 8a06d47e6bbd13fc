import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Streams run at two software versions of one service when the operator adds a route for a part of
 * their paths and a gateway is killed; requesters take their streams up at the other gateway.
 */
final class AddedRoute {

  private static final int STREAMS = 24;
  private static final int EVENTS = 60;
  private static final int PAUSE_MILLIS = 150;
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int MOST_JOINED = 2;

  private AddedRoute() {}

  public static void main(String[] args) throws Exception {
    Case.run(args, AddedRoute::run);
  }

  private static int run(Fleet fleet, boolean trouble) throws Exception {
    Map<String, String> ran = new ConcurrentHashMap<>();
    Runner oldOne = runner(fleet, "i-a1", 11, "v1", ran);
    Runner oldTwo = runner(fleet, "i-b1", 12, "v1", ran);
    list(fleet, oldOne, "v1");
    list(fleet, oldTwo, "v1");
    fleet.start(3, 2);
    String chat = route("chat", "/chat/");
    fleet.configure(Config.of(1, chat, Config.service("lm-pool")));
    fleet.awaitReady();
    for (int gateway = 0; gateway < 2; gateway++) {
      Streams.Reader first = new Streams.Reader("first-" + gateway);
      first.attempt(fleet, gateway, "/chat/long/0", TIMEOUT_MILLIS);
      fleet.write("before the second version: " + first.tries + " from " + first.sources);
    }

    // Runners of a second version come, and those of the first one start again under new ids.
    Runner newOne = runner(fleet, "i-c1", 13, "v2", ran);
    Runner newTwo = runner(fleet, "i-d1", 14, "v2", ran);
    list(fleet, newOne, "v2");
    list(fleet, newTwo, "v2");
    Thread.sleep(3_000);
    fleet.listed.removeIf(entry -> entry.contains("i-a1") || entry.contains("i-b1"));
    list(fleet, oldOne, "v1", "draining");
    list(fleet, oldTwo, "v1", "draining");
    Runner againOne = runner(fleet, "i-a2", 15, "v1", ran);
    Runner againTwo = runner(fleet, "i-b2", 16, "v1", ran);
    list(fleet, againOne, "v1");
    list(fleet, againTwo, "v1");
    Thread.sleep(5_000);
    oldOne.close();
    oldTwo.close();
    fleet.listed.removeIf(entry -> entry.contains("i-a1") || entry.contains("i-b1"));
    fleet.write("the first version has started again, both versions serve");
    Thread.sleep(3_000);

    List<Streams.Reader> readers = new ArrayList<>();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < STREAMS; i++) {
      Streams.Reader reader = new Streams.Reader("stream-" + i);
      readers.add(reader);
      int number = i;
      threads.add(
          Runner.daemon(
              reader.name,
              () -> {
                reader.attempt(fleet, 0, "/chat/long/" + number, TIMEOUT_MILLIS);
                // A requester tries once more, at another machine.
                if (!reader.complete) {
                  reader.attempt(fleet, 1, "/chat/long/" + number, TIMEOUT_MILLIS);
                }
              }));
      Thread.sleep(20);
    }
    Thread.sleep(2_000);
    if (trouble) {
      String added = chat + "," + route("chat-long", "/chat/long/");
      fleet.configure(Config.of(2, added, Config.service("lm-pool")));
      Thread.sleep(2_500);
      fleet.gateways.get(0).kill();
    }
    int joined = 0;
    int complete = 0;
    for (int i = 0; i < STREAMS; i++) {
      threads.get(i).join(2L * TIMEOUT_MILLIS);
      Streams.Reader reader = readers.get(i);
      fleet.write(reader.tries + " events from " + reader.sources);
      joined += reader.versions().size() > 1 ? 1 : 0;
      complete += reader.complete ? 1 : 0;
    }
    fleet.write(complete + " streams of " + STREAMS + " are complete");
    fleet.write(joined + " hold events of two software versions, " + MOST_JOINED + " may");
    return joined > MOST_JOINED ? Case.BROKEN : Case.HELD;
  }

  private static String route(String name, String prefix) {
    return Config.route(
        name,
        prefix,
        "stream",
        "lm-pool",
        ",\"timeout-ms\":20000,\"max-attempts\":2,\"resumable\":true,\"gap-target-ms\":250");
  }

  private static Runner runner(
      Fleet fleet, String id, int host, String version, Map<String, String> ran) throws Exception {
    return new Runner(
        id,
        "127.0.33." + host,
        fleet.appPort(),
        Streams.running(version, EVENTS, PAUSE_MILLIS, ran));
  }

  private static void list(Fleet fleet, Runner runner, String version) {
    list(fleet, runner, version, "ready");
  }

  private static void list(Fleet fleet, Runner runner, String version, String state) {
    fleet.listed.add(runner.entry("lm-pool", "taoyuan", version, 64, state));
  }
}
