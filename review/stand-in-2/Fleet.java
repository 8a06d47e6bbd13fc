import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment of the project's programs on loopback addresses: control instances and
 * gateways as processes with the commands of the deploy file and settings from its templates, and
 * a platform that serves the list of runners.
 *
 * <p>Every process that is started here is ended by {@link #close}, which also runs when the JVM
 * ends.
 */
final class Fleet implements AutoCloseable {

  // Every machine has a loopback address of its own, and all use the same ports.
  private static final String CONTROL_NET = "127.0.31.";

  private static final String GATEWAY_NET = "127.0.32.";
  private static final int FRONT = 20;
  private static final int READY = 21;
  private static final int CONTROL = 22;
  private static final int APP = 23;
  private static final int LIST = 24;
  private static final int PORTS = 25;

  final List<Machine> controls = new ArrayList<>();
  final List<Machine> gateways = new ArrayList<>();
  final List<Machine> sidecars = new ArrayList<>();

  /** The entries of the platform's list, as JSON objects. */
  final List<String> listed = new CopyOnWriteArrayList<>();

  private final Path root = Path.of("").toAbsolutePath();
  private final Path folder;
  private final PrintWriter record;
  private final long beginNanos = System.nanoTime();
  private final int firstPort;
  private HttpServer list;
  private volatile boolean listSilent;
  private volatile boolean closed;

  Fleet(Path caseFolder) throws IOException {
    this.folder = Files.createTempDirectory("review-2-");
    this.record =
        new PrintWriter(
            Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
    this.firstPort = freePorts();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    startList();
  }

  /** A machine of the deployment with the one process that runs on it. */
  final class Machine {

    final String role;
    final String name;
    final String ip;
    final Path settings;
    private volatile Process process;

    Machine(String role, String name, String ip, Map<String, String> fields) throws IOException {
      this.role = role;
      this.name = name;
      this.ip = ip;
      this.settings = folder.resolve(name + ".yaml");
      Files.writeString(settings, render(role, fields));
    }

    void start() throws IOException {
      ProcessBuilder builder = new ProcessBuilder(runLine(role));
      builder.directory(root.toFile());
      builder.environment().clear();
      for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        String value = System.getenv(kept);
        if (value != null) {
          builder.environment().put(kept, value);
        }
      }
      builder.environment().put("COMFREYGAP_SETTINGS", settings.toString());
      builder.environment().put("COMFREYGAP_MORE_SETTINGS", "");
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
      process = builder.start();
      write("start " + name + " pid " + process.pid());
    }

    /** What the process has printed, over all its starts. */
    Path log() {
      return folder.resolve(name + ".log");
    }

    boolean alive() {
      return process != null && process.isAlive();
    }

    void kill() throws InterruptedException {
      write("kill " + name);
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }
  }

  /** Starts control instances and gateways as at the first start of a deployment. */
  void start(int controlCount, int gatewayCount) throws IOException {
    List<String> seeds = new ArrayList<>();
    for (int i = 0; i < Math.min(3, controlCount); i++) {
      seeds.add(CONTROL_NET + (11 + i) + ":" + port(CONTROL));
    }
    for (int i = 0; i < controlCount; i++) {
      String ip = CONTROL_NET + (11 + i);
      Path data = Files.createDirectories(folder.resolve("data-" + i));
      Map<String, String> fields = fields("core-" + (i + 1), ip, zone(i), seeds);
      fields.put("data-dir", data.toString());
      controls.add(new Machine("control", "control-" + (i + 1), ip, fields));
    }
    for (int i = 0; i < gatewayCount; i++) {
      String ip = GATEWAY_NET + (11 + i);
      Map<String, String> fields = fields("front-" + (i + 1), ip, zone(i), seeds);
      gateways.add(new Machine("gateway", "gateway-" + (i + 1), ip, fields));
    }
    for (Machine one : controls) {
      one.start();
    }
    for (Machine one : gateways) {
      one.start();
    }
  }

  static String zone(int index) {
    return List.of("taoyuan", "xinzhuang", "banqiao").get(index % 3);
  }

  int port(int offset) {
    return firstPort + offset;
  }

  /** Port at which runners serve, the same on all their machines. */
  int appPort() {
    return port(APP);
  }

  InetSocketAddress front(int gateway) {
    return new InetSocketAddress(gateways.get(gateway).ip, port(FRONT));
  }

  /** Lets the list answer nothing, as while the platform is down, or answer again. */
  void listSilent(boolean silent) {
    write(silent ? "the platform's list is silent" : "the platform's list answers");
    listSilent = silent;
  }

  /** Sends a configuration until a control instance acknowledges it. */
  void configure(String json) throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    int next = 0;
    while (System.nanoTime() < end) {
      Machine control = controls.get(next++ % controls.size());
      try {
        String at = "http://" + control.ip + ":" + port(CONTROL) + "/config";
        int status = put(at, json, 2);
        if (status == 200) {
          write("configuration acknowledged");
          return;
        }
        if (status >= 400 && status < 500) {
          throw new Unusable("the configuration was refused with " + status);
        }
      } catch (IOException e) {
        // Not up yet.
      }
      Thread.sleep(100);
    }
    throw new Unusable("no control instance acknowledged the configuration");
  }

  /** Waits until all gateways are ready. */
  void awaitReady() throws Exception {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int i = 0; i < gateways.size(); i++) {
      while (!ready(i)) {
        if (System.nanoTime() > end) {
          throw new Unusable("gateway " + (i + 1) + " is not ready");
        }
        Thread.sleep(100);
      }
    }
    write("all gateways are ready");
  }

  boolean ready(int gateway) {
    try {
      URL url = new URL("http://" + gateways.get(gateway).ip + ":" + port(READY) + "/readiness");
      HttpURLConnection call = (HttpURLConnection) url.openConnection();
      call.setConnectTimeout(1_000);
      call.setReadTimeout(1_000);
      return call.getResponseCode() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Thrown when a case cannot run. */
  static final class Unusable extends Exception {
    Unusable(String reason) {
      super(reason);
    }
  }

  /** Writes a line with the seconds since the begin to the record. */
  void write(String line) {
    synchronized (record) {
      record.printf("%8.3f %s%n", seconds(), line);
      record.flush();
    }
  }

  double seconds() {
    return (System.nanoTime() - beginNanos) / 1e9;
  }

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (List<Machine> group : List.of(gateways, sidecars, controls)) {
      for (Machine one : group) {
        if (one.process != null) {
          one.process.destroyForcibly();
          try {
            one.process.waitFor(5, TimeUnit.SECONDS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        }
      }
    }
    list.stop(0);
    if (System.getenv("KEEP_LOGS") == null) {
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      } catch (IOException e) {
        write("the temporary folder was not removed: " + e);
      }
    } else {
      System.err.println("logs in " + folder);
    }
    record.close();
  }

  private Map<String, String> fields(String node, String ip, String zone, List<String> seeds) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("node", node);
    fields.put("zone", zone);
    fields.put("ip", ip);
    fields.put("internal-ports.0", String.valueOf(firstPort));
    fields.put("internal-ports.1", String.valueOf(firstPort + 15));
    fields.put("seeds", String.join(",", seeds));
    fields.put("bootstrap", "true");
    fields.put("listen.control", ip + ":" + port(CONTROL));
    fields.put("listen.front", ip + ":" + port(FRONT));
    fields.put("listen.ready-addr", ip + ":" + port(READY));
    fields.put("cloud.address", "127.0.0.1:" + port(LIST));
    fields.put("tolerate.machines", "1");
    fields.put("bounds.quota-excess", "0.1");
    fields.put("bounds.quota-slack", "11000");
    fields.put("bounds.quota-window-s", "8");
    fields.put("bounds.revoke-ms", "5000");
    fields.put("bounds.grace-s", "8");
    fields.put("bounds.budget-ratio", "0.2");
    fields.put("bounds.budget-extra", "62");
    fields.put("bounds.budget-window-s", "10");
    return fields;
  }

  /** Fills in the template of a role. */
  private String render(String role, Map<String, String> fields) throws IOException {
    String text = Files.readString(root.resolve("platform/templates/" + role + ".yaml"));
    List<String> seeds = new ArrayList<>();
    for (String one : fields.get("seeds").split(",")) {
      seeds.add('"' + one + '"');
    }
    text =
        text.replace(
            "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", String.join(",", seeds));
    for (Map.Entry<String, String> field : fields.entrySet()) {
      text = text.replace("{{" + field.getKey() + "}}", field.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("the template of " + role + " has fields that are not known: " + text);
    }
    return text;
  }

  /** Returns the run line of a role in the deploy file, as words. */
  private List<String> runLine(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.strip().equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run = \"")) {
        String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
        return List.of(run.split(" "));
      }
    }
    throw new IOException("the deploy file has no role " + role);
  }

  private void startList() throws IOException {
    list = HttpServer.create(new InetSocketAddress("127.0.0.1", port(LIST)), 64);
    list.setExecutor(
        java.util.concurrent.Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "list");
              thread.setDaemon(true);
              return thread;
            }));
    list.createContext(
        "/instances",
        exchange -> {
          while (listSilent && !closed) {
            try {
              Thread.sleep(50);
            } catch (InterruptedException e) {
              return;
            }
          }
          byte[] page =
              ("{\"instances\":[" + String.join(",", listed) + "],\"next\":null}")
                  .getBytes(StandardCharsets.UTF_8);
          exchange.getResponseHeaders().set("Content-Type", "application/json");
          exchange.sendResponseHeaders(200, page.length);
          exchange.getResponseBody().write(page);
          exchange.close();
        });
    list.start();
  }

  private static int put(String url, String body, int redirects) throws IOException {
    HttpURLConnection call = (HttpURLConnection) new URL(url).openConnection();
    call.setConnectTimeout(1_000);
    call.setReadTimeout(2_000);
    call.setRequestMethod("PUT");
    call.setInstanceFollowRedirects(false);
    call.setDoOutput(true);
    call.setRequestProperty("Content-Type", "application/json");
    call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    int status = call.getResponseCode();
    if (status == 307 && redirects > 0) {
      return put(call.getHeaderField("Location"), body, redirects - 1);
    }
    return status;
  }

  /** Returns the first of a row of ports that are free on the addresses in use. */
  private static int freePorts() throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int first = 21_000 + PORTS * ThreadLocalRandom.current().nextInt(400);
      if (isFree(first)) {
        return first;
      }
    }
    throw new IOException("no row of " + PORTS + " free ports was found");
  }

  private static boolean isFree(int first) {
    for (String ip : List.of("127.0.0.1", CONTROL_NET + 11, GATEWAY_NET + 11, "127.0.33.11")) {
      for (int port = first; port < first + PORTS; port++) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
        } catch (IOException e) {
          return false;
        }
      }
    }
    return true;
  }
}
