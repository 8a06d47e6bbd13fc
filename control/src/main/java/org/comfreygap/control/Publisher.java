package org.comfreygap.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.settings.Documents.ZoneState;

/**
 * Publishes whole routing tables under the publisher's version, as an alternative to changing
 * single documents through the administration API.
 *
 * <pre>{@code
 * publisher.publish(new Tables(7, List.of("/routing"), documents, body));
 * }</pre>
 *
 * <p>Invariant: the highest version ever accepted is in force; every method returns only after a
 * quorum confirmed its effect or the value read. Thread safety: any thread may call.
 *
 * @since 0.2
 */
public interface Publisher {

  /**
   * Published routing tables.
   *
   * @param version the publisher's version; the highest one is in force
   * @param prefixes paths at and below which the documents replace all present ones
   * @param documents JSON documents by path
   * @param source the publisher's request body, which {@link #publishedSource} returns
   */
  record Tables(
      long version, List<String> prefixes, Map<String, String> documents, String source) {}

  /**
   * Puts tables in force; does nothing when the same or a higher version is already in force.
   *
   * @throws PublicationRefused when the tables have faults, whatever their version
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void publish(Tables tables) throws PublicationRefused, PublicationUnavailable;

  /**
   * Returns the publisher's request body for the version in force; empty before the first
   * publication.
   *
   * @throws PublicationUnavailable when this instance does not lead or no quorum confirms that the
   *     value is current
   */
  Optional<String> publishedSource() throws PublicationUnavailable;

  /**
   * Takes a zone out of service or back in.
   *
   * @throws PublicationRefused when the zone name is invalid
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void setZoneState(String zone, ZoneState state) throws PublicationRefused, PublicationUnavailable;

  /**
   * Announces a version of an adapter; does nothing when the same or a higher version is already
   * announced.
   *
   * @throws PublicationRefused when a value is out of bounds
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void announce(String model, String adapter, long version)
      throws PublicationRefused, PublicationUnavailable;

  /**
   * Announces a version of the weights of a base model; does nothing when the same or a higher
   * version is already announced. Endpoints that hold an older one go on serving.
   *
   * @throws PublicationRefused when a value is out of bounds
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void announceWeights(String model, long version)
      throws PublicationRefused, PublicationUnavailable;
}
