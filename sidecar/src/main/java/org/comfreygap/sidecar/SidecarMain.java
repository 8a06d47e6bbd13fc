package org.comfreygap.sidecar;

import java.nio.file.Path;
import org.comfreygap.runtime.Program;

/**
 * Entry point of {@code comfreygap-sidecar}, through which all access to one endpoint goes.
 *
 * <pre>{@code
 * bin/comfreygap-sidecar sidecar.yaml
 * }</pre>
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
public final class SidecarMain {

  private SidecarMain() {}

  /** Runs the sidecar; the only argument is the path of the settings file. */
  public static void main(String[] args) {
    Program.run("comfreygap-sidecar", args, (Path file) -> Sidecar.start(file));
  }
}
