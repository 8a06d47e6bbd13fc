package org.comfreygap.relay;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * The format of the platform's list of endpoints.
 *
 * <p>Thread safety: implementations are stateless.
 *
 * @since 0.2
 */
public interface ListingFormat {

  /**
   * One page of the list.
   *
   * @param unreadableEntries number of entries skipped because they could not be read
   * @param nextToken token of the next page
   */
  record Page(List<ListedEndpoint> endpoints, int unreadableEntries, Optional<String> nextToken) {}

  /** Returns the path and query of a page; the first page has no token. */
  String path(Optional<String> token);

  /**
   * Reads a page. Entries that cannot be read are skipped and counted.
   *
   * @throws IOException when the page as a whole cannot be read
   */
  Page read(byte[] body) throws IOException;
}
