package org.comfreygap.bench;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * The machine's clock, which the fakes' records use too.
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.1
 */
final class Clock {

  private Clock() {}

  /** Returns microseconds since the epoch. */
  static long micros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }
}
