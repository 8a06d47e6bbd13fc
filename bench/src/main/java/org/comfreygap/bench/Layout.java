package org.comfreygap.bench;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Names, zones and ports of one fleet.
 *
 * <p>Thread safety: immutable after construction.
 *
 * @since 0.1
 */
final class Layout {

  private static final Logger LOG = LoggerFactory.getLogger(Layout.class);

  /** Team that owns all customers, adapters and services. */
  static final String TEAM = "shop";

  /** Instances of control and gateways: one of each in every zone. */
  static final int INSTANCES = 3;

  private static final int FIRST_PORT = 15_000;
  private static final int LAST_PORT = 32_000;

  final Profile profile;
  final int fakesControlPort;
  final List<Runner> runners = new ArrayList<>();
  final List<ControlPorts> controls = new ArrayList<>();
  final List<GatewayPorts> gateways = new ArrayList<>();

  Layout(Profile profile, Random random) throws IOException {
    this.profile = profile;
    Ports ports = new Ports(random);
    this.fakesControlPort = ports.next();
    Profile.Fleet fleet = profile.fleet();
    for (int i = 0; i < fleet.engines() + fleet.services(); i++) {
      boolean engine = i < fleet.engines();
      int number = engine ? i + 1 : i + 1 - fleet.engines();
      runners.add(
          new Runner(
              (engine ? "engine-" : fleet.service() + "-") + number,
              engine,
              Profile.ZONES.get((number - 1) % Profile.ZONES.size()),
              ports.next(),
              ports.next(),
              ports.next()));
    }
    for (int i = 0; i < INSTANCES; i++) {
      controls.add(new ControlPorts(ports.next(), ports.next(), ports.next(), ports.next()));
      gateways.add(new GatewayPorts(ports.next(), ports.next()));
    }
  }

  Map<String, String> zones() {
    Map<String, String> zones = new LinkedHashMap<>();
    runners.forEach(runner -> zones.put(runner.name(), runner.zone()));
    return zones;
  }

  /** Returns the settings of the fakes' process. */
  String fakesYaml() {
    StringBuilder yaml = new StringBuilder();
    Profile.Store store = profile.store();
    yaml.append("controlPort: ").append(fakesControlPort).append('\n');
    yaml.append("store: {loadsPerSecond: ").append(store.loadsPerSecond());
    yaml.append(", fullSpeedLoads: ").append(store.fullSpeedLoads());
    yaml.append(", maxInFlight: ").append(store.maxInFlight()).append("}\n");
    yaml.append("engines:\n");
    runners.stream().filter(Runner::engine).forEach(runner -> yaml.append(engineYaml(runner)));
    yaml.append("services:\n");
    runners.stream().filter(r -> !r.engine()).forEach(runner -> yaml.append(serviceYaml(runner)));
    return yaml.toString();
  }

  private String engineYaml(Runner runner) {
    return "  - {name: %s, port: %d, slots: %d, maxBatch: %d, stepMicros: 18000, "
            .formatted(
                runner.name(),
                runner.endpointPort(),
                profile.fleet().slots(),
                profile.fleet().maxBatch())
        + "stepMicrosPerRun: 250, coldInitial: %d, coldRampMillis: %d}%n"
            .formatted(ColdStart.INITIAL_CONCURRENCY, ColdStart.ENGINE_RAMP_MILLIS);
  }

  private String serviceYaml(Runner runner) {
    return "  - {name: %s, service: %s, port: %d, maxConcurrent: %d, serviceMillis: 10, "
            .formatted(
                runner.name(),
                profile.fleet().service(),
                runner.endpointPort(),
                ColdStart.SERVICE_CONCURRENCY)
        + "coldInitial: %d, coldRampMillis: %d}%n"
            .formatted(ColdStart.INITIAL_CONCURRENCY, ColdStart.ENGINE_RAMP_MILLIS);
  }

  /** Cold-start limits; the ramp in the settings is slower than that of the fakes. */
  static final class ColdStart {

    static final int INITIAL_CONCURRENCY = 2;
    static final int ENGINE_RAMP_MILLIS = 3_000;
    static final int SETTINGS_RAMP_SECONDS = 4;
    static final int SERVICE_CONCURRENCY = 16;

    private ColdStart() {}
  }

  /** An endpoint with its sidecar. */
  record Runner(
      String name, boolean engine, String zone, int endpointPort, int attemptPort, int adminPort) {}

  /** Ports of a control instance. */
  record ControlPorts(int rpc, int replication, int http, int admin) {}

  /** Ports of a gateway. */
  record GatewayPorts(int http, int admin) {}

  /** Finds free ports below the ephemeral range, which outgoing connections use. */
  private static final class Ports {

    private int next;

    Ports(Random random) {
      next = FIRST_PORT + random.nextInt(LAST_PORT - FIRST_PORT);
    }

    int next() throws IOException {
      for (int attempts = 0; attempts < LAST_PORT - FIRST_PORT; attempts++) {
        next = next + 1 >= LAST_PORT ? FIRST_PORT : next + 1;
        try (ServerSocket probe = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
          return probe.getLocalPort();
        } catch (IOException e) {
          LOG.debug("a port is in use", e);
        }
      }
      throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
    }
  }
}
