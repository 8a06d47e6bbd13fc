package org.comfreygap.relay;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.comfreygap.runtime.Addresses;

/**
 * Where the list of endpoints is read: at the platform, or at a gateway that has read it.
 *
 * <p>Thread safety: used on the event loop only.
 */
abstract class ListingSource {

  /** Longest time for one page of the platform. */
  static final Duration PLATFORM_TIMEOUT = Duration.ofMillis(800);

  /** A gateway answers from memory; one that takes longer is frozen or gone. */
  static final Duration GATEWAY_TIMEOUT = Duration.ofMillis(300);

  private final String name;
  private final HttpPeerClient client;

  private ListingSource(String name, HttpPeerClient fetch) {
    this.name = name;
    this.client = fetch;
  }

  static ListingSource platform(EventLoop loop, InetSocketAddress address, ListingFormat form) {
    return new Platform(new HttpPeerClient(loop, address, PLATFORM_TIMEOUT), form);
  }

  /** Returns the gateway {@code processId} as a source. */
  static ListingSource gateway(EventLoop loop, String processId, String address) {
    return new Gateway(
        processId, new HttpPeerClient(loop, Addresses.parse(address), GATEWAY_TIMEOUT));
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
   * Returns the path of the page after {@code page}, of which {@code read} pages were read.
   *
   * @throws IOException when the answer does not state what it must
   */
  abstract Optional<String> nextPath(
      HttpPeerClient.Response reply, ListingFormat.Page page, int read) throws IOException;

  /**
   * Returns the age of what an answer holds, in milliseconds.
   *
   * @throws IOException when the answer does not state it
   */
  abstract long ageMillis(HttpPeerClient.Response reply) throws IOException;

  private static final class Platform extends ListingSource {

    private final ListingFormat format;

    Platform(HttpPeerClient fetch, ListingFormat form) {
      super("platform", fetch);
      this.format = form;
    }

    @Override
    String firstPath() {
      return format.path(Optional.empty());
    }

    @Override
    Optional<String> nextPath(HttpPeerClient.Response reply, ListingFormat.Page page, int read) {
      return page.nextToken().map(token -> format.path(Optional.of(token)));
    }

    @Override
    long ageMillis(HttpPeerClient.Response reply) {
      return 0;
    }
  }

  private static final class Gateway extends ListingSource {

    Gateway(String processId, HttpPeerClient fetch) {
      super(processId, fetch);
    }

    @Override
    String firstPath() {
      return SharedListing.path(0);
    }

    @Override
    Optional<String> nextPath(HttpPeerClient.Response reply, ListingFormat.Page page, int read)
        throws IOException {
      boolean more = read < SharedListing.headerValue(reply, SharedListing.PAGES);
      return more ? Optional.of(SharedListing.path(read)) : Optional.empty();
    }

    @Override
    long ageMillis(HttpPeerClient.Response reply) throws IOException {
      return SharedListing.headerValue(reply, SharedListing.AGE_MILLIS);
    }
  }
}
