package org.comfreygap.relay;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.comfreygap.decisions.HedgePolicy;
import org.comfreygap.decisions.PacedCost;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;
import org.comfreygap.settings.RequestKind;

/**
 * The settings file of a gateway that serves routes.
 *
 * <p>Thread safety: immutable.
 */
final class RelaySettings {

  /** Above it, second attempts are a multiple of the load rather than an exception. */
  private static final double MAX_SECOND_SHARE = 0.2;

  private static final ObjectSchema SECOND_ATTEMPTS =
      ObjectSchema.builder()
          .required("share", FieldRule.number(0, MAX_SECOND_SHARE))
          .required("minDelayMillis", FieldRule.integer(1, 60_000))
          .required("quantile", FieldRule.number(0.5, 0.999))
          .required(
              "kinds",
              FieldRule.listOf(
                  FieldRule.oneOf(HedgePolicy.REPEATABLE.toArray(RequestKind[]::new)),
                  HedgePolicy.REPEATABLE.size()))
          .build();

  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("callerAddress", FieldRule.ipPort())
          .required("readyAddress", FieldRule.ipPort())
          .required("linkAddress", FieldRule.ipPort())
          .required("listAddress", FieldRule.ipPort())
          .optional("sidecarPort", FieldRule.integer(1, 65_535))
          .optional("listPeriodMillis", FieldRule.integer(50, 60_000))
          .optional("heartbeatMillis", FieldRule.integer(50, 60_000))
          .optional("keyWithdrawalMillis", FieldRule.integer(500, 60_000))
          .optional("graceMillis", FieldRule.integer(1_000, 600_000))
          .optional("stopLagMillis", FieldRule.integer(0, 600_000))
          .optional("retryRatio", FieldRule.number(0, 10))
          .optional("retryExtra", FieldRule.number(0, 100_000))
          .optional("retryWindowMillis", FieldRule.integer(100, 600_000))
          .optional("usageWindowMillis", FieldRule.integer(1_000, 86_400_000))
          .optional("usageLateMillis", FieldRule.integer(1_000, 86_400_000))
          .optional("otherZoneMillis", FieldRule.number(0, 60_000))
          .optional("notHomeMillis", FieldRule.number(0, 60_000))
          .optional("secondAttempts", FieldRule.object(SECOND_ATTEMPTS))
          .build();

  private static final Map<String, Integer> BLOCK_PORTS =
      Map.of(
          "adminAddress", PortBlock.GATEWAY_ADMIN,
          "linkAddress", PortBlock.GATEWAY_LINK);

  // A gateway that reads from its zone's reader sees a leaving endpoint within two periods, well
  // inside the 3 s after which it must get no work. Calls are charged, so only one gateway of a
  // zone reads from the platform.
  private static final Duration DEFAULT_LIST_PERIOD = Duration.ofMillis(900);
  // Four heartbeats fit into the default lease and leave time for an election.
  private static final Duration DEFAULT_HEARTBEAT = Duration.ofMillis(500);
  private static final Duration DEFAULT_KEY_WITHDRAWAL = Duration.ofMillis(5_000);
  // The remaining time is for requests that were admitted just before the lease ended.
  private static final double LEASE_SHARE_OF_WITHDRAWAL = 0.6;
  private static final Duration DEFAULT_GRACE = Duration.ofMillis(8_000);
  // Part of the grace time, reserved for closing open connections before the process is killed.
  private static final Duration STOP_MARGIN = Duration.ofMillis(600);
  // Two checks of a balancer that checks once a second, and a connection being opened.
  private static final Duration DEFAULT_STOP_LAG = Duration.ofMillis(2_600);
  private static final double DEFAULT_RETRY_RATIO = 0.2;
  private static final double DEFAULT_RETRY_EXTRA = 50;
  private static final Duration DEFAULT_RETRY_WINDOW = Duration.ofSeconds(10);
  private static final Duration DEFAULT_USAGE_LATENESS = Duration.ofSeconds(10);

  private final ProcessSettings file;

  private RelaySettings(ProcessSettings file) {
    this.file = file;
  }

  static RelaySettings load(Path path) throws InvalidSettingsException {
    return new RelaySettings(ProcessSettings.load(path, SCHEMA, BLOCK_PORTS));
  }

  ProcessSettings file() {
    return file;
  }

  String processId() {
    return file.text("processId");
  }

  String zone() {
    return file.text("zone");
  }

  InetSocketAddress callerAddress() {
    return file.address("callerAddress");
  }

  InetSocketAddress readyAddress() {
    return file.address("readyAddress");
  }

  InetSocketAddress adminAddress() {
    return file.address("adminAddress");
  }

  /** Returns the address at which this gateway grants sends to endpoints with a request limit. */
  InetSocketAddress linkAddress() {
    return file.address("linkAddress");
  }

  InetSocketAddress listAddress() {
    return file.address("listAddress");
  }

  List<InetSocketAddress> control() {
    return file.addresses("control");
  }

  /** Returns the port of the sidecars, which is in the block of ports unless it is given. */
  int sidecarPort() {
    long inBlock = file.integer("portBlock.first", 0) + PortBlock.SIDECAR_LINK;
    return (int) file.integer("sidecarPort", inBlock);
  }

  Duration listPeriod() {
    return file.millis("listPeriodMillis", DEFAULT_LIST_PERIOD);
  }

  Duration heartbeat() {
    return file.millis("heartbeatMillis", DEFAULT_HEARTBEAT);
  }

  /** Returns the longest age of a confirmed settings revision for requests with a key. */
  Duration lease() {
    Duration withdrawal = file.millis("keyWithdrawalMillis", DEFAULT_KEY_WITHDRAWAL);
    return Duration.ofMillis((long) (withdrawal.toMillis() * LEASE_SHARE_OF_WITHDRAWAL));
  }

  /** Returns the longest time of a planned stop. */
  Duration stop() {
    return grace().minus(STOP_MARGIN);
  }

  /** Returns the time from the signal of a planned stop to the end of the process by force. */
  Duration grace() {
    return file.millis("graceMillis", DEFAULT_GRACE);
  }

  /** Returns the time that the balancer needs to notice that a gateway is not ready. */
  Duration stopLag() {
    return file.millis("stopLagMillis", DEFAULT_STOP_LAG);
  }

  double retryRatio() {
    return number("retryRatio", DEFAULT_RETRY_RATIO);
  }

  double retryExtra() {
    return number("retryExtra", DEFAULT_RETRY_EXTRA);
  }

  Duration retryWindow() {
    return file.millis("retryWindowMillis", DEFAULT_RETRY_WINDOW);
  }

  /** Returns the length of a window of usage; zero when usage is not counted. */
  Duration usageWindow() {
    return file.millis("usageWindowMillis", Duration.ZERO);
  }

  /** Returns the time after the end of a window of usage within which its report is due. */
  Duration usageLateness() {
    return file.millis("usageLateMillis", DEFAULT_USAGE_LATENESS);
  }

  /** Returns what a deployment prefers among engines that state their pace. */
  PacedCost.Preferences preferences() {
    PacedCost.Preferences absent = PacedCost.Preferences.DEFAULT;
    return new PacedCost.Preferences(
        number("notHomeMillis", absent.notHomeMillis()),
        number("otherZoneMillis", absent.otherZoneMillis()));
  }

  /** Returns what is allowed of second attempts; empty when there are none. */
  Optional<HedgePolicy.Limits> secondAttempts() {
    return file.optionalNode("secondAttempts")
        .map(
            node ->
                new HedgePolicy.Limits(
                    node.get("share").asDouble(),
                    Duration.ofMillis(node.get("minDelayMillis").asLong()),
                    node.get("quantile").asDouble(),
                    file.texts("secondAttempts.kinds").stream()
                        .map(kind -> RequestKind.valueOf(kind.toUpperCase(Locale.ROOT)))
                        .collect(Collectors.toSet())));
  }

  private double number(String path, double absent) {
    return file.optionalNode(path).map(node -> node.asDouble()).orElse(absent);
  }
}
