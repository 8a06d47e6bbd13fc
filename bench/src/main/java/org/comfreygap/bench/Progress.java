package org.comfreygap.bench;

import java.util.Locale;

/**
 * Progress on standard error, with the seconds since the start.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class Progress {

  private static final long START_NANOS = System.nanoTime();

  private Progress() {}

  static void log(String text) {
    System.err.println(
        String.format(Locale.ROOT, "%6.1f s %s", (System.nanoTime() - START_NANOS) / 1e9, text));
  }
}
