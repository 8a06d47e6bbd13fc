package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.protocol.generated.ReplicaMember;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a control instance.
 *
 * <p>Thread safety: immutable.
 */
final class ControlSettings {

  private static final ObjectSchema MEMBER =
      ObjectSchema.builder()
          .required("replicaId", FieldRule.name())
          .required("address", FieldRule.ipPort())
          .optional("adminAddress", FieldRule.ipPort())
          .build();

  private static final ObjectSchema OPERATOR =
      ObjectSchema.builder()
          .required("name", FieldRule.name())
          .required(
              "tokenSha256",
              FieldRule.text(
                  "64 lower-case hexadecimal digits", value -> value.matches("[0-9a-f]{64}")))
          .required(
              "subtree", FieldRule.text("a path such as /teams/blue", ControlSettings::isSubtree))
          .build();

  private static final ObjectSchema PLATFORM_LIST =
      ObjectSchema.builder()
          .required("url", FieldRule.text("an http or https URL", v -> v.matches("https?://.+")))
          .optional("pollMillis", FieldRule.integer(100, 3_600_000))
          .build();

  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .optional("replicaId", FieldRule.name())
          .optional("createLog", FieldRule.bool())
          .required("rpcAddress", FieldRule.ipPort())
          .required("replicationAddress", FieldRule.ipPort())
          .required("httpAddress", FieldRule.ipPort())
          .required(
              "dataFolder",
              FieldRule.text(
                  "a path of at most 1000 characters, empty on an instance without a disk",
                  value -> value.length() <= 1_000))
          .optional("initialMembers", FieldRule.listOf(FieldRule.object(MEMBER), 7))
          .required("operators", FieldRule.listOf(FieldRule.object(OPERATOR), 1_000))
          .optional("platformList", FieldRule.object(PLATFORM_LIST))
          .optional("toleratedLosses", FieldRule.integer(0, 4))
          .optional("endpointNumbers", FieldRule.object(ScaleSettings.SCHEMA))
          .optional("duties", FieldRule.object(DutySettings.SCHEMA))
          .build();

  private static final Map<String, Integer> BLOCK_PORTS =
      Map.of(
          "rpcAddress", PortBlock.CONTROL_RPC,
          "replicationAddress", PortBlock.CONTROL_REPLICATION,
          "adminAddress", PortBlock.CONTROL_ADMIN);

  /** Three members are the smallest group that tolerates one loss. */
  private static final int DEFAULT_TOLERATED_LOSSES = 1;

  private static final Duration DEFAULT_POLL = Duration.ofSeconds(2);

  private final Optional<Path> path;
  private final ProcessSettings file;
  private final List<Operator> operators;
  private final List<ReplicaMember> initialMembers;
  private final Optional<ReplicaIdentity> identity;

  private ControlSettings(
      Optional<Path> path, ProcessSettings file, Optional<ReplicaIdentity> identity) {
    this.path = path;
    this.file = file;
    this.identity = identity;
    this.operators = new ArrayList<>();
    this.initialMembers = new ArrayList<>();
    file.optionalNode("operators").ifPresent(list -> list.forEach(o -> operators.add(operator(o))));
    file.optionalNode("initialMembers")
        .ifPresent(list -> list.forEach(m -> initialMembers.add(member(m))));
  }

  /** An operator; only the hash of its token is stored. */
  record Operator(String name, String tokenSha256, String subtree) {

    boolean covers(String path) {
      return SettingsTree.isWithin(path, subtree);
    }
  }

  /** Source and period for polling the platform's list of instances. */
  record PlatformList(String url, Duration poll) {}

  /**
   * Reads a settings file. Without {@code replicaId} the identity of the replica is generated at
   * the first start and stored in the data folder.
   *
   * @throws IOException when the identity cannot be read or stored
   */
  static ControlSettings load(Path path) throws InvalidSettingsException, IOException {
    ProcessSettings file = ProcessSettings.load(path, SCHEMA, BLOCK_PORTS);
    if (file.optionalText("replicaId").isPresent() || file.text("dataFolder").isEmpty()) {
      return new ControlSettings(Optional.of(path), file, Optional.empty());
    }
    ReplicaIdentity identity =
        ReplicaIdentity.open(
            Path.of(file.text("dataFolder")),
            file.text("replicationAddress"),
            file.texts("seeds"),
            file.bool("createLog", false));
    return new ControlSettings(Optional.of(path), file, Optional.of(identity));
  }

  static ControlSettings parse(String yaml) throws InvalidSettingsException {
    return new ControlSettings(
        Optional.empty(), ProcessSettings.parse("settings", yaml, SCHEMA), Optional.empty());
  }

  /** Returns the addresses of control instances in a changed settings file. */
  static List<InetSocketAddress> reloadControlAddresses(Path changed)
      throws InvalidSettingsException {
    return ProcessSettings.load(changed, SCHEMA, BLOCK_PORTS).texts("control").stream()
        .map(Addresses::parse)
        .toList();
  }

  /** Returns the file that the settings were read from; empty when they were parsed from text. */
  Optional<Path> path() {
    return path;
  }

  ProcessSettings file() {
    return file;
  }

  String processId() {
    return file.text("processId");
  }

  String replicaId() {
    return identity.map(ReplicaIdentity::replicaId).orElseGet(() -> file.text("replicaId"));
  }

  /** Returns how many control instances may be lost at once, including their disks. */
  int toleratedLosses() {
    return file.optionalNode("toleratedLosses")
        .map(JsonNode::asInt)
        .orElse(DEFAULT_TOLERATED_LOSSES);
  }

  /** Returns true when the leader adds this replica to the log without an operator's call. */
  boolean joinsAutomatically() {
    return identity.isPresent();
  }

  String zone() {
    return file.text("zone");
  }

  InetSocketAddress rpcAddress() {
    return file.address("rpcAddress");
  }

  InetSocketAddress httpAddress() {
    return file.address("httpAddress");
  }

  InetSocketAddress adminAddress() {
    return file.address("adminAddress");
  }

  String replicationAddress() {
    return file.text("replicationAddress");
  }

  /** Returns the folder that stores the replica; empty on an instance without a disk. */
  Optional<Path> dataFolder() {
    return Optional.of(file.text("dataFolder")).filter(text -> !text.isEmpty()).map(Path::of);
  }

  List<String> controlAddresses() {
    return file.texts("control");
  }

  List<Operator> operators() {
    return operators;
  }

  List<ReplicaMember> initialMembers() {
    return identity.map(ReplicaIdentity::initialMembers).orElse(initialMembers);
  }

  Optional<PlatformList> platformList() {
    return file.optionalText("platformList.url")
        .map(url -> new PlatformList(url, file.millis("platformList.pollMillis", DEFAULT_POLL)));
  }

  /** Returns the duties that are asked for, of those that the dialect knows. */
  DutySettings duties(DutyDialect dialect) {
    return DutySettings.of(file, dialect);
  }

  ControlState.ReplicaAddresses self() {
    return new ControlState.ReplicaAddresses(
        replicaId(), file.text("rpcAddress"), file.text("httpAddress"));
  }

  private static boolean isSubtree(String path) {
    return path.equals("/") || org.comfreygap.settings.SettingsPath.parse(path).isPresent();
  }

  private static Operator operator(JsonNode node) {
    return new Operator(
        node.get("name").asText(), node.get("tokenSha256").asText(), node.get("subtree").asText());
  }

  private static ReplicaMember member(JsonNode node) {
    ReplicaMember member =
        new ReplicaMember(node.get("replicaId").asText(), node.get("address").asText(), true);
    if (node.hasNonNull("adminAddress")) {
      member.setAdminAddress(node.get("adminAddress").asText());
    }
    return member;
  }
}
