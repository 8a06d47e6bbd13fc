package org.comfreygap.relay.residency;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.comfreygap.runtime.InvalidSettingsException;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a sidecar that keeps adapters resident.
 *
 * <p>Thread safety: immutable.
 */
final class ResidencySettings {

  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("linkAddress", FieldRule.ipPort())
          .required("engineAddress", FieldRule.ipPort())
          .required("pool", FieldRule.name())
          .optional("assumedPacePercent", FieldRule.integer(20, 1_000))
          .build();

  private static final Map<String, Integer> BLOCK_PORTS =
      Map.of(
          "adminAddress", PortBlock.SIDECAR_ADMIN,
          "linkAddress", PortBlock.SIDECAR_LINK);

  private final ProcessSettings file;

  private ResidencySettings(ProcessSettings file) {
    this.file = file;
  }

  static ResidencySettings load(Path path) throws InvalidSettingsException {
    return new ResidencySettings(ProcessSettings.load(path, SCHEMA, BLOCK_PORTS));
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

  InetSocketAddress linkAddress() {
    return file.address("linkAddress");
  }

  InetSocketAddress engineAddress() {
    return file.address("engineAddress");
  }

  InetSocketAddress adminAddress() {
    return file.address("adminAddress");
  }

  /** Returns the pool that the engine belongs to. */
  String pool() {
    return file.text("pool");
  }

  /** Returns the pace of an engine that states none; without it such engines have no pace. */
  OptionalInt assumedPacePercent() {
    long percent = file.integer("assumedPacePercent", 0);
    return percent > 0 ? OptionalInt.of((int) percent) : OptionalInt.empty();
  }

  List<InetSocketAddress> control() {
    return file.addresses("control");
  }
}
