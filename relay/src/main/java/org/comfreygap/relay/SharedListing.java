package org.comfreygap.relay;

import io.netty.util.AsciiString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.comfreygap.runtime.ClockReading;

/**
 * The pages of the list that this gateway has read at the platform, for the other gateways of its
 * zone.
 *
 * <p>Invariant: what is older than {@link #MAX_AGE} by either clock is not passed on, so that a
 * gateway that was suspended does not call an old list young. Thread safety: used on the event loop
 * only.
 */
final class SharedListing {

  /** First part of the path. */
  static final String PATH = "/listing/";

  /** States how many pages there are. */
  static final AsciiString PAGES = AsciiString.cached("Listing-Pages");

  /** States how long ago the first page was asked for. */
  static final AsciiString AGE_MILLIS = AsciiString.cached("Listing-Age-Millis");

  /**
   * A reader reads anew in less. With the time until the next reading of a gateway that asks it,
   * this stays below the 3 s after which a leaving endpoint must get no more work.
   */
  static final Duration MAX_AGE = Duration.ofMillis(1_400);

  private static final int OK = 200;
  private static final String JSON = "application/json";

  private List<byte[]> pages = List.of();
  private Optional<ClockReading> requestedAt = Optional.empty();

  /** Returns the path of a page, which are numbered from 0. */
  static String path(int page) {
    return PATH + page;
  }

  /**
   * Returns the number that an answer states under {@code name}.
   *
   * @throws IOException when there is none
   */
  static long headerValue(HttpPeerClient.Response reply, AsciiString name) throws IOException {
    String text = reply.headers().get(name, "");
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

  /** Returns the answer to another gateway that asks for {@code path}. */
  PlainHttpServer.Page page(String path, ClockReading now) {
    long age = requestedAt.map(asked -> ageMillis(asked, now)).orElse(Long.MAX_VALUE);
    if (age > MAX_AGE.toMillis()) {
      return PlainHttpServer.Page.unavailable(1, "this gateway has no list that is new enough\n");
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
        new String(pages.get(number), StandardCharsets.UTF_8),
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
