import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: machines with an address each, whose programs are started with
 * the commands of the deploy file and settings made from its templates.
 */
final class Deployment implements AutoCloseable {

  static final int FRONT = 18221;
  static final int READY = 18224;
  static final int CONTROL = 18229;
  static final int INTERNAL = 17600;
  static final int LIST = 18225;

  private final Path root;
  private final Path folder;
  private final Record record;
  private final String network;
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Program> programs = new LinkedHashMap<>();
  private final int machines;

  /** A program of a machine. */
  private record Program(List<String> command, Path settings, Path log) {}

  Deployment(Record record, int machines) throws IOException {
    this.root = Path.of("").toAbsolutePath();
    this.folder = Files.createTempDirectory("review");
    this.record = record;
    this.machines = machines;
    this.network = freeNetwork();
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  /** Returns the address of a front machine, counted from 1. */
  String ip(int machine) {
    return network + machine + ".1";
  }

  /** Returns the address of the platform. */
  String platformIp() {
    return network + "200.1";
  }

  /** Returns the address of a runner, counted from 1. */
  String runnerIp(int runner) {
    return network + (100 + runner) + ".1";
  }

  /** Starts control and a gateway on each machine. */
  void start() throws IOException {
    for (int machine = 1; machine <= machines; machine++) {
      start("control", machine);
      start("gateway", machine);
    }
  }

  /** Starts a program of a machine, also again after it has ended. */
  Process start(String role, int machine) throws IOException {
    String name = role + "-" + machine;
    Program program = programs.get(name);
    if (program == null) {
      program = prepare(role, machine);
      programs.put(name, program);
    }
    ProcessBuilder builder = new ProcessBuilder(program.command());
    builder.directory(root.toFile());
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("COMFREYGAP_SETTINGS", program.settings().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(program.log().toFile()));
    Process process = builder.start();
    synchronized (processes) {
      processes.add(process);
    }
    record.add("started %s", name);
    return process;
  }

  /** Waits until every gateway is ready; false when one is not within the time. */
  boolean awaitReady(int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    for (int machine = 1; machine <= machines; machine++) {
      while (!isReady(machine)) {
        if (System.nanoTime() - end > 0) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  boolean isReady(int machine) {
    try {
      return call(ip(machine), READY, "GET", "/readiness", "").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a configuration as an operator does, until it is acknowledged. */
  boolean putConfig(String json, int seconds) throws InterruptedException {
    return order("PUT", "/config", json, seconds);
  }

  /** Returns a configuration with one tenant and one route, whose requests must not be repeated. */
  static String orderConfig(String key) {
    return orderConfig(3, tenant("desk", key));
  }

  /** Returns a configuration with a list of tenants. */
  static String orderConfig(int version, String tenants) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"place-order\",\"host\":\"orders.example\","
        + "\"path-prefix\":\"/orders/\",\"kind\":\"unsafe\",\"timeout-ms\":2000,"
        + "\"target-latency-ms\":121,\"priority\":1,\"service\":\"order-app\","
        + "\"max-attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}],"
        + "\"services\":[{\"name\":\"order-app\",\"health-path\":\"/health\","
        + "\"max-conns\":130,\"protocol\":\"h1\",\"tls\":false,\"cold-s\":0.0,"
        + "\"cold-per-s\":0.0}],\"limits\":{\"max-header-bytes\":16384,"
        + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
        + "\"idle-timeout-ms\":15000},\"tenants\":["
        + tenants
        + "]}";
  }

  /** Returns a tenant without a limit. */
  static String tenant(String name, String key) {
    return "{\"name\":\""
        + name
        + "\",\"api-keys\":[\""
        + key
        + "\"],\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,"
        + "\"rate-per-s\":0,\"burst\":0}";
  }

  /** Sends an order of the operator to one machine after the other, until it is acknowledged. */
  boolean order(String method, String path, String body, int seconds) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    int machine = 1;
    while (System.nanoTime() - end < 0) {
      try {
        String host = ip(machine);
        int port = CONTROL;
        for (int hops = 0; hops < 3; hops++) {
          Http.Message answer = call(host, port, method, path, body);
          if (answer.status() == 200) {
            record.add("%s %s is acknowledged by %s", method, path, host);
            return true;
          }
          if (answer.status() != 307) {
            record.add("%s %s gets %d from %s", method, path, answer.status(), host);
            break;
          }
          Matcher location =
              Pattern.compile("http://([^:/]+):(\\d+)/.*").matcher(answer.header("location"));
          if (!location.matches()) {
            break;
          }
          host = location.group(1);
          port = Integer.parseInt(location.group(2));
        }
      } catch (IOException e) {
        record.add("%s %s fails at machine %d: %s", method, path, machine, e.getMessage());
      }
      machine = machine % machines + 1;
      Thread.sleep(300);
    }
    return false;
  }

  static Http.Message call(String host, int port, String method, String path, String body)
      throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), 1_000);
      socket.setSoTimeout(2_000);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + host
              + "\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: "
              + bytes.length
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().write(bytes);
      Http.Message answer = Http.readResponse(socket.getInputStream());
      if (answer == null) {
        throw new IOException("no response");
      }
      return answer;
    }
  }

  /** Sends a signal to a process that this deployment started. */
  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    List<Process> all;
    synchronized (processes) {
      all = List.copyOf(processes);
    }
    all.forEach(Process::destroyForcibly);
    for (Process process : all) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
    } catch (IOException | java.io.UncheckedIOException e) {
      record.add("the temporary folder could not be removed: %s", e.getMessage());
    }
  }

  private Program prepare(String role, int machine) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    List<String> command = List.of(field(section, "run").split(" "));
    Path data = folder.resolve("data-" + machine);
    Path settings = folder.resolve(role + "-" + machine + ".yaml");
    Path log = folder.resolve(role + "-" + machine + ".log");
    String template = Files.readString(root.resolve(field(section, "template")));
    Files.writeString(settings, fill(template, values(machine, data)));
    return new Program(command, settings, log);
  }

  private Map<String, String> values(int machine, Path data) {
    Map<String, String> values = new LinkedHashMap<>();
    values.put("node", "front-" + machine);
    values.put("zone", "zone-" + machine);
    values.put("ip", ip(machine));
    values.put("internal-ports.0", String.valueOf(INTERNAL));
    values.put("internal-ports.1", String.valueOf(INTERNAL + 15));
    values.put("listen.front", ip(machine) + ":" + FRONT);
    values.put("listen.ready-addr", ip(machine) + ":" + READY);
    values.put("listen.control", ip(machine) + ":" + CONTROL);
    values.put("cloud.address", platformIp() + ":" + LIST);
    values.put("bootstrap", "true");
    values.put("data-dir", data.toString());
    values.put("tolerate.machines", machines >= 3 ? "1" : "0");
    values.put("bounds.revoke-ms", "5000");
    values.put("bounds.grace-s", "8");
    values.put("bounds.budget-ratio", "0.2");
    values.put("bounds.budget-extra", "64");
    values.put("bounds.budget-window-s", "10");
    values.put("bounds.quota-excess", "0.1");
    values.put("bounds.quota-slack", "11000");
    values.put("bounds.quota-window-s", "8");
    return values;
  }

  private String fill(String template, Map<String, String> values) throws IOException {
    StringBuilder seeds = new StringBuilder();
    for (int machine = 1; machine <= machines; machine++) {
      seeds.append(machine > 1 ? "," : "").append('"').append(ip(machine)).append(":");
      seeds.append(CONTROL).append('"');
    }
    String text =
        template.replaceAll(
            "\\{\\{#seeds}}.*\\{\\{/seeds}}", Matcher.quoteReplacement(seeds.toString()));
    for (Map.Entry<String, String> value : values.entrySet()) {
      text = text.replace("{{" + value.getKey() + "}}", value.getValue());
    }
    if (text.contains("{{")) {
      throw new IOException("a placeholder of the template is not known: " + text);
    }
    return text;
  }

  private static String field(String section, String name) throws IOException {
    Matcher found = Pattern.compile("(?m)^" + name + " = \"([^\"]*)\"").matcher(section);
    if (!found.find()) {
      throw new IOException("no field " + name + " in the deploy file");
    }
    return found.group(1);
  }

  /** Returns the first two bytes of a part of the loopback range whose ports are free. */
  private String freeNetwork() throws IOException {
    Random random = new Random();
    for (int tries = 0; tries < 50; tries++) {
      String candidate = "127." + (20 + random.nextInt(200)) + ".";
      boolean free = true;
      for (int port : new int[] {FRONT, READY, CONTROL, INTERNAL, INTERNAL + 1, INTERNAL + 6}) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getByName(candidate + "1.1"), port));
        } catch (IOException e) {
          free = false;
        }
      }
      if (free) {
        return candidate;
      }
    }
    throw new IOException("no free loopback addresses");
  }
}
