package org.comfreygap.cli;

import com.github.rvesse.airline.annotations.Option;

/**
 * Options of commands that can wait until a change is in force.
 *
 * <p>Thread safety: not thread-safe.
 *
 * @since 0.1
 */
public final class WaitOptions {

  @Option(
      name = {"--wait"},
      description =
          "Return only when the change is in force at every live process; after the timeout,"
              + " the processes that lag behind are listed and the exit code is 7.")
  private boolean wait;

  @Option(
      name = {"--timeout"},
      title = "SECONDS",
      description = "Maximum time to wait. Default: 15.")
  private int timeoutSeconds = 15;

  /** Returns the query string, empty when the command does not wait. */
  String query() {
    return wait ? "?wait=true&timeoutMillis=" + timeoutSeconds * 1_000L : "";
  }

  /** Appends the query string to {@code path}, which may already have a query. */
  String addTo(String path) {
    String query = query();
    return path + (path.contains("?") ? query.replace('?', '&') : query);
  }
}
