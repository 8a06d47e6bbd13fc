package org.comfreygap.relay;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.comfreygap.runtime.Addresses;
import org.comfreygap.runtime.PortBlock;
import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.runtime.SettingsInvalid;
import org.comfreygap.settings.FieldRule;
import org.comfreygap.settings.ObjectSchema;

/**
 * The settings file of a {@link ControlForwarder}. It is that of a control instance; what only a
 * replica needs is accepted and not used.
 *
 * <p>Thread safety: immutable.
 */
final class ForwarderSettings {

  private static final ObjectSchema SCHEMA =
      ProcessSettings.commonSchema()
          .required("httpAddress", FieldRule.ipPort())
          .optional("dataFolder", FieldRule.text("an empty path", String::isEmpty))
          .optional("createLog", FieldRule.bool())
          .optional("toleratedLosses", FieldRule.integer(0, 4))
          .optional("operators", FieldRule.listOf(FieldRule.name(), 0))
          .build();

  private static final Map<String, Integer> BLOCK_PORTS =
      Map.of("adminAddress", PortBlock.CONTROL_ADMIN);

  private final ProcessSettings file;

  private ForwarderSettings(ProcessSettings file) {
    this.file = file;
  }

  static ForwarderSettings load(Path path) throws SettingsInvalid {
    return new ForwarderSettings(ProcessSettings.load(path, SCHEMA, BLOCK_PORTS));
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

  InetSocketAddress httpAddress() {
    return file.address("httpAddress");
  }

  InetSocketAddress adminAddress() {
    return file.address("adminAddress");
  }

  List<InetSocketAddress> control() {
    return file.texts("control").stream().map(Addresses::parse).toList();
  }
}
