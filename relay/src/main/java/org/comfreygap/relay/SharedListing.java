package org.comfreygap.relay;

import io.netty.util.AsciiString;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.ClockReading;

/**
 * The pages of the list that this gateway has read from the platform and serves to the other
 * gateways of its zone.
 *
 * <p>Invariant: a list older than {@link #MAX_AGE} by either clock is not served, so that a gateway
 * that was suspended does not state too low an age. Thread safety: used on the event loop only.
 */
final class SharedListing {

  /** Prefix of the path of a page. */
  static final String PATH = "/listing/";

  /** Header that states the number of pages. */
  static final AsciiString PAGES = AsciiString.cached("Listing-Pages");

  /** Header that states the time since the first page was requested. */
  static final AsciiString AGE_MILLIS = AsciiString.cached("Listing-Age-Millis");

  /**
   * A reader polls more often than this. Together with the poll period of the gateway that reads
   * from it, this stays below the 3 s after which a leaving endpoint must get no more work.
   */
  static final Duration MAX_AGE = Duration.ofMillis(1_400);

  private static final int OK = 200;
  private static final String JSON = "application/json";

  private List<byte[]> pages = List.of();
  private Optional<ClockReading> requestedAt = Optional.empty();

  /** Returns the path of a page; pages are numbered from 0. */
  static String path(int page) {
    return PATH + page;
  }

  /**
   * Returns the number in the header {@code name} of a response.
   *
   * @throws IOException when the header is missing or no number
   */
  static long headerValue(HttpPeerClient.Response response, AsciiString name) throws IOException {
    String text = response.headers().get(name, "");
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IOException("given '" + text + "' as " + name + ", expected a number", e);
    }
  }

  /** Replaces the pages by newer ones. */
  void replace(List<byte[]> newest, ClockReading asked) {
    pages = List.copyOf(newest);
    requestedAt = Optional.of(asked);
  }

  /** Returns the response to another gateway's request for {@code path}. */
  PlainHttpServer.Page page(String path, ClockReading now) {
    long age = requestedAt.map(asked -> ageMillis(asked, now)).orElse(Long.MAX_VALUE);
    if (age > MAX_AGE.toMillis()) {
      return PlainHttpServer.Page.unavailable(1, "this gateway has no recent list\n");
    }
    return pageNumber(path)
        .filter(number -> number < pages.size())
        .map(number -> page(number, age))
        .orElseGet(PlainHttpServer.Page::notFound);
  }

  private PlainHttpServer.Page page(int number, long ageMillis) {
    return new PlainHttpServer.Page(
        OK,
        JSON,
        pages.get(number),
        Map.of(
            PAGES, String.valueOf(pages.size()),
            AGE_MILLIS, String.valueOf(ageMillis)));
  }

  private static Optional<Integer> pageNumber(String path) {
    String text = path.substring(PATH.length());
    return text.matches("\\d{1,4}") ? Optional.of(Integer.parseInt(text)) : Optional.empty();
  }

  private static long ageMillis(ClockReading asked, ClockReading now) {
    long monotonic = TimeUnit.NANOSECONDS.toMillis(now.nanos() - asked.nanos());
    return Math.max(monotonic, now.wallMillis() - asked.wallMillis());
  }
}
