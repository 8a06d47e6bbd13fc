package org.comfreygap.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The block {@code duties} of the settings file: which duties the platform asks for, and where.
 *
 * <p>Invariant: without the block, or without a known duty in it, nothing is asked for. Thread
 * safety: immutable.
 *
 * @param address address of the platform's calls, {@code ip:port}
 * @param holder name under which this instance holds the duties
 * @param callsPerSecond calls that the platform accepts a second from the whole fleet
 * @param lease time within which two holders must not act in turns
 * @param window length of a window of usage
 * @param allowedError share by which a reported count may be off
 * @param lateness time after the end of a window within which its report is due
 */
record DutySettings(
    Set<Duty> asked,
    String address,
    String holder,
    double callsPerSecond,
    Duration lease,
    Duration window,
    double allowedError,
    Duration lateness) {

  private static final int MAX_DUTIES = 20;
  private static final int MAX_NAME = 100;
  private static final double DEFAULT_CALLS_PER_SECOND = 1;
  private static final Duration DEFAULT_LEASE = Duration.ofSeconds(3);
  private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(5);
  private static final double DEFAULT_ERROR = 0.05;
  private static final Duration DEFAULT_LATENESS = Duration.ofSeconds(10);

  /** Nothing is asked for. */
  static final DutySettings NONE =
      new DutySettings(
          Set.of(),
          "",
          "",
          DEFAULT_CALLS_PER_SECOND,
          DEFAULT_LEASE,
          DEFAULT_WINDOW,
          DEFAULT_ERROR,
          DEFAULT_LATENESS);

  /** Schema of the block. */
  static final ObjectSchema SCHEMA =
      ObjectSchema.builder()
          .required("address", FieldRule.ipPort())
          .optional("holder", FieldRule.text(MAX_NAME))
          .required("asked", FieldRule.listOf(FieldRule.text(MAX_NAME), MAX_DUTIES))
          .optional("callsPerSecond", FieldRule.number(0.01, 100_000))
          .optional("leaseMillis", FieldRule.integer(0, 600_000))
          .optional("usageWindowMillis", FieldRule.integer(1_000, 86_400_000))
          .optional("usageError", FieldRule.number(0, 1))
          .optional("usageLateMillis", FieldRule.integer(1_000, 86_400_000))
          .build();

  DutySettings {
    asked = Set.copyOf(asked);
  }

  /** Reads the block of a settings file; names that the dialect does not know are left out. */
  static DutySettings of(ProcessSettings file, DutyDialect dialect) {
    Set<Duty> asked = EnumSet.noneOf(Duty.class);
    file.optionalNode("duties.asked")
        .ifPresent(names -> names.forEach(n -> dialect.duty(n.asText()).ifPresent(asked::add)));
    if (asked.isEmpty()) {
      return NONE;
    }
    return new DutySettings(
        asked,
        file.text("duties.address"),
        file.optionalText("duties.holder").orElseGet(() -> file.text("processId")),
        number(file, "duties.callsPerSecond", DEFAULT_CALLS_PER_SECOND),
        file.millis("duties.leaseMillis", DEFAULT_LEASE),
        file.millis("duties.usageWindowMillis", DEFAULT_WINDOW),
        number(file, "duties.usageError", DEFAULT_ERROR),
        file.millis("duties.usageLateMillis", DEFAULT_LATENESS));
  }

  boolean asks(Duty duty) {
    return asked.contains(duty);
  }

  private static double number(ProcessSettings file, String path, double absent) {
    Optional<JsonNode> node = file.optionalNode(path);
    return node.map(JsonNode::asDouble).orElse(absent);
  }
}
