package org.comfreygap.sidecar;

import java.nio.file.Path;
import org.comfreygap.runtime.Program;

/**
 * The program {@code comfreygap-sidecar}: the only access to one endpoint.
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

  /** Runs the program with the settings file as its one argument. */
  public static void main(String[] args) {
    Program.run("comfreygap-sidecar", args, (Path file) -> Sidecar.start(file));
  }
}
