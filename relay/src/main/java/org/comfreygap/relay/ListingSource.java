package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.comfreygap.runtime.Addresses;

/**
 * A source of the list of endpoints: the platform, or a gateway that has read it.
 *
 * <p>Thread safety: used on the event loop only.
 */
abstract class ListingSource {

  /** Timeout for one page of the platform. */
  static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(800);

  /**
   * Timeout for one page of a gateway, which responds from memory unless it is suspended or gone.
   */
  static final Duration GATEWAY_TIMEOUT = Duration.ofMillis(300);

  private final String name;
  private final HttpPeerClient client;

  private ListingSource(String name, HttpPeerClient client) {
    this.name = name;
    this.client = client;
  }

  static ListingSource platform(EventLoop loop, InetSocketAddress address, ListingFormat format) {
    return new Platform(
        new HttpPeerClient(loop, address, PLATFORM_TIMEOUT, HttpPeerClient.LIST_RESPONSE_BYTES),
        format);
  }

  /** Returns the gateway {@code processId} as a source. */
  static ListingSource gateway(EventLoop loop, String processId, String address) {
    return new Gateway(
        processId,
        new HttpPeerClient(
            loop, Addresses.parse(address), GATEWAY_TIMEOUT, HttpPeerClient.LIST_RESPONSE_BYTES));
  }

  /** Returns the name for the log. */
  String name() {
    return name;
  }

  HttpPeerClient client() {
    return client;
  }

  /** Returns the path of the first page. */
  abstract String firstPath();

  /**
   * Returns the path of the page after {@code page}, the last of {@code read} pages that were read.
   *
   * @throws IOException when the response lacks a required header
   */
  abstract Optional<String> nextPath(
      HttpPeerClient.Response response, ListingFormat.Page page, int read) throws IOException;

  /**
   * Returns the age of the list in a response, in milliseconds.
   *
   * @throws IOException when the response does not state it
   */
  abstract long ageMillis(HttpPeerClient.Response response) throws IOException;

  private static final class Platform extends ListingSource {

    private final ListingFormat format;

    Platform(HttpPeerClient client, ListingFormat format) {
      super("platform", client);
      this.format = format;
    }

    @Override
    String firstPath() {
      return format.path(Optional.empty());
    }

    @Override
    Optional<String> nextPath(HttpPeerClient.Response response, ListingFormat.Page page, int read) {
      return page.nextToken().map(token -> format.path(Optional.of(token)));
    }

    @Override
    long ageMillis(HttpPeerClient.Response response) {
      return 0;
    }
  }

  private static final class Gateway extends ListingSource {

    Gateway(String processId, HttpPeerClient client) {
      super(processId, client);
    }

    @Override
    String firstPath() {
      return SharedListing.path(0);
    }

    @Override
    Optional<String> nextPath(HttpPeerClient.Response response, ListingFormat.Page page, int read)
        throws IOException {
      boolean more = read < SharedListing.headerValue(response, SharedListing.PAGES);
      return more ? Optional.of(SharedListing.path(read)) : Optional.empty();
    }

    @Override
    long ageMillis(HttpPeerClient.Response response) throws IOException {
      return SharedListing.headerValue(response, SharedListing.AGE_MILLIS);
    }
  }
}
