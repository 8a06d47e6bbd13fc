package org.comfreygap.decisions;

import java.util.List;

/**
 * A request that may have crashed the endpoint that it was sent to.
 *
 * <p>Thread safety: immutable.
 *
 * @param fingerprint hash that equal requests of one customer share
 * @param parts ids of the parts of its prompt that other requests may have too
 * @since 0.4
 */
public record SuspectRequest(String fingerprint, List<String> parts) {

  /** Copies the parts. */
  public SuspectRequest {
    parts = List.copyOf(parts);
  }

  /** Returns a request without shared parts. */
  public static SuspectRequest of(String fingerprint) {
    return new SuspectRequest(fingerprint, List.of());
  }
}
