package org.comfreygap.gateway;

import org.comfreygap.runtime.ProcessSettings;
import org.comfreygap.runtime.Program;

/**
 * The program {@code comfreygap-gateway}.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
public final class GatewayMain {

  private GatewayMain() {}

  /** Starts a gateway from the settings file named by the only argument. */
  public static void main(String[] args) {
    Program.run(
        "comfreygap-gateway",
        args,
        file ->
            Gateway.start(
                GatewaySettings.from(ProcessSettings.load(file, GatewaySettings.SCHEMA))));
  }
}
