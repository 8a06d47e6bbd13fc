package org.comfreygap.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.comfreygap.settings.Documents.ZoneState;

/**
 * Whole routing tables under a version of their publisher, beside the administration API by path.
 *
 * <pre>{@code
 * publisher.publish(new Tables(7, List.of("/routing"), documents, body));
 * }</pre>
 *
 * <p>Invariant: the highest version that was ever accepted is in force; every method returns only
 * after its effect, or what it read, is confirmed by a quorum. Thread safety: any thread may call.
 *
 * @since 0.2
 */
public interface Publisher {

  /**
   * Routing tables as they are published.
   *
   * @param version the publisher's version; the highest one is in force
   * @param prefixes paths at and below which the documents replace what is there
   * @param documents JSON documents by path
   * @param source what the publisher sent, for reading it back
   */
  record Tables(
      long version, List<String> prefixes, Map<String, String> documents, String source) {}

  /**
   * Puts tables in force, or does nothing when as high a version is in force already.
   *
   * @throws PublicationRefused when the tables have faults, whatever their version
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void publish(Tables tables) throws PublicationRefused, PublicationUnavailable;

  /**
   * Returns what was sent with the version in force.
   *
   * @throws PublicationUnavailable when no quorum confirms that it is the newest
   */
  Optional<String> publishedSource() throws PublicationUnavailable;

  /**
   * Takes a zone out of service or back in.
   *
   * @throws PublicationRefused when the name is not that of a zone
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void setZoneState(String zone, ZoneState state) throws PublicationRefused, PublicationUnavailable;

  /**
   * Announces a version of an adapter; a version that is not above the announced one changes
   * nothing.
   *
   * @throws PublicationRefused when a value is out of bounds
   * @throws PublicationUnavailable when this instance does not lead or has no quorum
   */
  void announce(String model, String adapter, long version)
      throws PublicationRefused, PublicationUnavailable;
}
