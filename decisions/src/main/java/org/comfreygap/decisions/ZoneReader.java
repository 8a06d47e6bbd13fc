package org.comfreygap.decisions;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the gateway of an availability zone that reads the platform's list for the others, so
 * that calls for the list grow with the number of zones instead of gateways.
 *
 * <p>Gateways may disagree while their views differ. That costs calls and nothing else, since a
 * gateway passes on only what it has read itself, with its age.
 *
 * <pre>{@code
 * Optional<Candidate> reader = ZoneReader.choose("gateway.a-2", "a", others);
 * }</pre>
 *
 * <p>Thread safety: stateless.
 *
 * @since 0.3
 */
public final class ZoneReader {

  private ZoneReader() {}

  /**
   * Another gateway.
   *
   * @param live false while it is suspected to be gone, or leaving
   * @param address {@code ip:port} at which it passes the list on
   */
  public record Candidate(String processId, String zone, boolean live, String address) {}

  /**
   * Returns the gateway to ask for the list; empty when this one is to read it itself.
   *
   * @param others gateways known from control; this one may be among them
   */
  public static Optional<Candidate> choose(
      String ownId, String zone, Collection<Candidate> others) {
    return others.stream()
        .filter(other -> other.live() && other.zone().equals(zone))
        .min(Comparator.comparing(Candidate::processId))
        .filter(first -> first.processId().compareTo(ownId) < 0);
  }
}
