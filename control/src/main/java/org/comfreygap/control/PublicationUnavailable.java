package org.comfreygap.control;

import java.util.Optional;

/**
 * Thrown when this instance cannot serve a call now. Without a leader address it is unknown whether
 * the call took effect.
 *
 * @since 0.2
 */
public final class PublicationUnavailable extends Exception {

  private static final long serialVersionUID = 1L;

  private final transient Optional<String> leaderAddress;

  PublicationUnavailable(String message, Optional<String> leaderAddress) {
    super(message);
    this.leaderAddress = leaderAddress;
  }

  /** Returns {@code ip:port} of the leader, which serves such calls, if known. */
  public Optional<String> leaderAddress() {
    return leaderAddress;
  }
}
